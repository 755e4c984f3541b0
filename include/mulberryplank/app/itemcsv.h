#pragma once

#include <string>
#include <vector>

#include "mulberryplank/app/csvfile.h"
#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// One line of a routes file.
struct RouteLine {
    ServiceName service;
    Route route;
};

// Each returns the items of a CSV file. The columns are documented in docs/OPERATORS.md. Versions are left at 0.
// Errors: as for parseItems(). Secrets are never included in an error.
Result<std::vector<Account>> parseAccounts(const CsvFile &file);
Result<std::vector<Service>> parseServices(const CsvFile &file);
Result<std::vector<RouteLine>> parseRoutes(const CsvFile &file);
Result<std::vector<Target>> parseTargets(const CsvFile &file);

// Each sets the column `heading` of a row or target to `value`, for arguments such as "weight=3" on the command line.
// Errors: BadConfiguration, naming heading, value and the allowed values.
Result<void> setField(Row &row, const std::string &heading, const std::string &value);
Result<void> setField(Target &target, const std::string &heading, const std::string &value);

// Returns true if `name` is a valid name of an item.
bool isItemName(const std::string &name);

// Describes what isItemName() accepts, for error messages.
inline constexpr const char *ItemNameAllowed = "1 to 64 letters, digits or ._-:@";

// Minimum number of characters of an account's secret.
inline constexpr std::size_t MinSecretLength = 20;

} // namespace mulberryplank
