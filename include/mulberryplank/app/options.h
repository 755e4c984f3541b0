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

// Where a value came from. A flag wins over the environment, which wins over the default.
enum class Origin : std::uint8_t {
    Default,
    Environment,
    Flag,
};

std::string_view toString(Origin origin);

// Describes one option: its flag, its environment variable, its default, its help text and its check come from here.
struct OptionInfo {
    std::string name; // "log-level" stands for --log-level and MULBERRYPLANK_LOG_LEVEL
    std::string placeholder; // what stands for the value in help texts; empty for a switch, which takes no value
    std::optional<std::string> defaultValue; // the default; nothing: the option must be given
    std::string allowed; // for people: which values are accepted
    std::string help; // for people: what the option does
    std::function<bool(const std::string &value)> accepts; // not asked about the default; empty: takes anything
};

// Returns "--log-level" for "log-level".
std::string flagName(const OptionInfo &option);

// Returns "MULBERRYPLANK_LOG_LEVEL" for "log-level". In the environment a switch is 1 or 0.
std::string variableName(const OptionInfo &option);

// One option's value as it stands after flags, environment and default were weighed.
struct OptionValue {
    std::string value; // "1" for a switch that was given, "" for one that wasn't
    Origin origin = Origin::Default;
};

// A command line as read.
struct OptionValues {
    std::map<std::string, OptionValue> values; // by OptionInfo::name; one for each option
    std::vector<std::string> positionals;

    // Returns the value of an option that was in the table. Throws std::out_of_range for any other.
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

// Reads a command line, whose argv[0] is skipped, and the environment by `options`. On failure the detail holds one
// line for each thing that is wrong, naming flag or variable, value and what is allowed. Not to be called by two
// threads at once, since getopt_long() keeps its place in globals.
Result<OptionValues> parseOptions(const std::vector<OptionInfo> &options,
                                  int argc,
                                  char **argv,
                                  const EnvironmentLookup &environment);

// Returns the help text for `options`, one paragraph for each.
std::string describeOptions(const std::vector<OptionInfo> &options);

// Returns the whole number that `text` is, or nothing if it is something else or lies outside of the range.
std::optional<std::uint64_t> parseNumber(std::string_view text, std::uint64_t minimum, std::uint64_t maximum);

// Returns the decimal number that `text` is, such as 0.25, or nothing if it is something else or lies outside of the
// range.
std::optional<double> parseDecimal(const std::string &text, double minimum, double maximum);

} // namespace mulberryplank
