// What the tables of settings have in common: rows, and checks of values.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "mulberryplank/app/options.h"
#include "mulberryplank/app/settings.h"

namespace mulberryplank::internal
{

inline constexpr const char *NameAllowed = "1 to 64 letters, digits, '.', '-' or '_'";

// One setting: its option, and how its value is stored. `store` returns false for a value that isn't allowed.
template<typename Settings>
struct SettingRow {
    OptionInfo option;
    bool (*store)(Settings &settings, const std::string &value);
};

// Returns true if `value` may be a VM's or a failure domain's name.
bool isName(const std::string &value);

// Stores `value` in `destination`, or returns false and leaves it as it was.
bool storeEndpoint(Endpoint &destination, const std::string &value);

// How the tables' rows store a value in one member of the settings.
template<auto Field, typename Settings>
bool storeEndpointAt(Settings &settings, const std::string &value)
{
    return storeEndpoint(settings.*Field, value);
}

template<auto Field, typename Settings>
bool storeNameAt(Settings &settings, const std::string &value)
{
    settings.*Field = std::decay_t<decltype(settings.*Field)>(value);
    return isName(value);
}

template<typename Settings>
bool storeLogLevel(Settings &settings, const std::string &value)
{
    settings.logLevel = value;
    return severityFromString(value).has_value();
}

// Returns the options of a table of settings, each with its check.
template<typename Settings>
std::vector<OptionInfo> optionsOf(const std::vector<SettingRow<Settings>> &rows)
{
    std::vector<OptionInfo> options;
    for (const SettingRow<Settings> &row : rows) {
        OptionInfo option = row.option;
        option.accepts = [store = row.store](const std::string &value) {
            Settings scratch;
            return store(scratch, value);
        };
        options.push_back(std::move(option));
    }
    return options;
}

// Reads the settings of a table. Errors: BadConfiguration, one line for each thing that is wrong.
template<typename Checked, typename Settings>
Result<Checked> checkRows(const std::vector<SettingRow<Settings>> &rows,
                          const std::vector<OptionInfo> &options,
                          int argc,
                          char **argv,
                          const EnvironmentLookup &environment)
{
    const Result<OptionValues> values = parseOptions(options, argc, argv, environment);
    if (!values) {
        return tl::make_unexpected(values.error());
    }
    if (!values->positionals.empty()) {
        return failure(ErrorKind::BadConfiguration,
                       "'" + values->positionals.front() + "' is not allowed; allowed: flags only, see --help");
    }
    Checked checked;
    for (const SettingRow<Settings> &row : rows) {
        const OptionValue &value = values->values.at(row.option.name);
        row.store(checked.settings, value.value);
        checked.effective.push_back({ row.option.name, value.value, value.origin });
    }
    return checked;
}

} // namespace mulberryplank::internal
