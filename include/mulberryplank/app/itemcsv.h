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

// Each reads the items of a CSV file, whose columns are named in the page for operators. Versions are left at 0.
// Errors: as for parseItems(). Secrets are never part of an error.
Result<std::vector<Account>> parseAccounts(const CsvFile &file);
Result<std::vector<Service>> parseServices(const CsvFile &file);
Result<std::vector<RouteLine>> parseRoutes(const CsvFile &file);
Result<std::vector<Target>> parseTargets(const CsvFile &file);

// Returns a row's or target's column headed `heading` set from `value`, or what is wrong, for "weight=3" on the command
// line. Errors: BadConfiguration, naming heading, value and what is allowed.
Result<void> setField(Row &row, const std::string &heading, const std::string &value);
Result<void> setField(Target &target, const std::string &heading, const std::string &value);

// Returns true if an item may have this name.
bool isItemName(const std::string &name);

// What isItemName() accepts, for people.
inline constexpr const char *ItemNameAllowed = "1 to 64 letters, digits or ._-:@";

// The least number of characters of an account's secret.
inline constexpr std::size_t MinSecretLength = 20;

} // namespace mulberryplank
