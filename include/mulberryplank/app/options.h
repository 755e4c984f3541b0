#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// Returns the value of an environment variable, or nothing when it isn't set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &variable)>;

// Returns a lookup in the environment of this process.
EnvironmentLookup processEnvironment();

// The source of a value. A flag takes precedence over the environment, and the environment over the default.
enum class Origin : std::uint8_t {
    Default,
    Environment,
    Flag,
};

std::string_view toString(Origin origin);

// Describes one option. Its flag, environment variable, default, help text and validation are derived from this.
struct OptionInfo {
    std::string name; // "log-level" means --log-level and MULBERRYPLANK_LOG_LEVEL
    std::string placeholder; // represents the value in help texts; empty for a switch, which takes no value
    std::optional<std::string> defaultValue; // std::nullopt: the option must be given
    std::string allowed; // the accepted values, for help texts and errors
    std::string help; // what the option does, for help texts
    std::function<bool(const std::string &value)> accepts; // not applied to the default; empty: accepts any value
};

// Returns "--log-level" for "log-level".
std::string flagName(const OptionInfo &option);

// Returns "MULBERRYPLANK_LOG_LEVEL" for "log-level". In the environment a switch is 1 or 0.
std::string variableName(const OptionInfo &option);

// The effective value of one option, taken from its flag, the environment or its default.
struct OptionValue {
    std::string value; // "1" for a switch that was given, "" for one that wasn't
    Origin origin = Origin::Default;
};

// A parsed command line.
struct OptionValues {
    std::map<std::string, OptionValue> values; // by OptionInfo::name; has each option
    std::vector<std::string> positionals;

    // Returns the value of an option that was passed to parseOptions(). Throws std::out_of_range for any other name.
    const std::string &operator[](const std::string &name) const
    {
        return values.at(name).value;
    }

    // Returns true if the switch was given.
    bool has(const std::string &name) const
    {
        return !values.at(name).value.empty();
    }
};

// Parses a command line and the environment according to `options`. argv[0] is skipped. On failure the detail has one
// line for each problem, naming flag or variable, value and the allowed values. Must not be called concurrently, since
// getopt_long() keeps its position in global variables.
Result<OptionValues> parseOptions(const std::vector<OptionInfo> &options,
                                  int argc,
                                  char **argv,
                                  const EnvironmentLookup &environment);

// Returns the help text for `options`, one paragraph for each.
std::string describeOptions(const std::vector<OptionInfo> &options);

// Returns `text` as a whole number, or nothing if it isn't one or is outside of the range.
std::optional<std::uint64_t> parseNumber(std::string_view text, std::uint64_t minimum, std::uint64_t maximum);

// Returns `text` as a decimal number, such as 0.25, or nothing if it isn't one or is outside of the range.
std::optional<double> parseDecimal(const std::string &text, double minimum, double maximum);

} // namespace mulberryplank
