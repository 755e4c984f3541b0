#include "mulberryplank/app/options.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdlib>

#include <getopt.h>

#include "mulberryplank/app/csvfile.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

constexpr std::string_view VariablePrefix = "MULBERRYPLANK_";

// getopt_long() returns this plus the option's index; above every character that it returns for its own purposes.
constexpr int FirstOptionCode = 1000;

bool isSwitch(const OptionInfo &option)
{
    return option.placeholder.empty();
}

bool accepts(const OptionInfo &option, const std::string &value)
{
    if (isSwitch(option)) {
        return value == "0" || value == "1";
    }
    return !option.accepts || option.accepts(value);
}

std::string allowedValues(const OptionInfo &option)
{
    return isSwitch(option) ? "1 or 0" : option.allowed;
}

std::string formatRefusal(const std::string &source, const std::string &value, const OptionInfo &option)
{
    return source + ": '" + value + "' is not allowed; allowed: " + allowedValues(option);
}

std::vector<option> longOptions(const std::vector<OptionInfo> &options)
{
    std::vector<option> table;
    for (std::size_t index = 0; index < options.size(); ++index) {
        const int argument = isSwitch(options[index]) ? no_argument : required_argument;
        const int code = FirstOptionCode + static_cast<int>(index);
        table.push_back({ options[index].name.c_str(), argument, nullptr, code });
    }
    table.push_back({ nullptr, 0, nullptr, 0 });
    return table;
}

// Reads the flags into `result`, and what is wrong with them into `problems`.
void readFlags(const std::vector<OptionInfo> &options,
               int argc,
               char **argv,
               OptionValues &result,
               std::vector<std::string> &problems)
{
    const std::vector<option> table = longOptions(options);
    opterr = 0;
    optind = 0;
    for (;;) {
        const int code = getopt_long(argc, argv, ":", table.data(), nullptr);
        if (code == -1) {
            break;
        }
        if (code == ':') {
            problems.push_back(std::string(argv[optind - 1]) + ": needs a value");
            continue;
        }
        if (code < FirstOptionCode) {
            const char *shown = optind > 0 && optind <= argc ? argv[optind - 1] : "?";
            problems.push_back(std::string(shown) + ": unknown, ambiguous or wrongly used flag; see --help");
            continue;
        }
        const OptionInfo &found = options.at(static_cast<std::size_t>(code - FirstOptionCode));
        const std::string value = isSwitch(found) ? "1" : optarg;
        if (!accepts(found, value)) {
            problems.push_back(formatRefusal(flagName(found), value, found));
        }
        result.values[found.name] = { value, Origin::Flag };
    }
    for (int index = optind; index < argc; ++index) {
        result.positionals.emplace_back(argv[index]);
    }
}

void readEnvironment(const OptionInfo &option,
                     const EnvironmentLookup &environment,
                     OptionValues &result,
                     std::vector<std::string> &problems)
{
    const std::string variable = variableName(option);
    const std::optional<std::string> value = environment(variable);
    if (!value) {
        return;
    }
    if (!accepts(option, *value)) {
        problems.push_back(formatRefusal(variable, *value, option));
    }
    const bool switchedOff = isSwitch(option) && *value == "0";
    result.values[option.name] = { switchedOff ? "" : *value, Origin::Environment };
}

void applyDefault(const OptionInfo &option, OptionValues &result, std::vector<std::string> &problems)
{
    if (!option.defaultValue && !isSwitch(option)) {
        problems.push_back(flagName(option) + " (or " + variableName(option)
                           + "): missing; allowed: " + option.allowed);
    }
    result.values[option.name] = { option.defaultValue.value_or(""), Origin::Default };
}

} // namespace

} // namespace internal

EnvironmentLookup processEnvironment()
{
    return [](const std::string &variable) -> std::optional<std::string> {
        const char *value = std::getenv(variable.c_str());
        if (value == nullptr) {
            return std::nullopt;
        }
        return value;
    };
}

std::string_view toString(Origin origin)
{
    constexpr std::array<std::string_view, 3> Names { "default", "environment", "flag" };
    return Names.at(static_cast<std::size_t>(origin));
}

std::string flagName(const OptionInfo &option)
{
    return "--" + option.name;
}

std::string variableName(const OptionInfo &option)
{
    std::string variable(internal::VariablePrefix);
    for (const char letter : option.name) {
        variable += letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    return variable;
}

Result<OptionValues> parseOptions(const std::vector<OptionInfo> &options,
                                  int argc,
                                  char **argv,
                                  const EnvironmentLookup &environment)
{
    OptionValues result;
    std::vector<std::string> problems;
    internal::readFlags(options, argc, argv, result, problems);
    for (const OptionInfo &option : options) {
        if (!result.values.contains(option.name)) {
            internal::readEnvironment(option, environment, result, problems);
        }
        if (!result.values.contains(option.name)) {
            internal::applyDefault(option, result, problems);
        }
    }
    if (!problems.empty()) {
        return failure(ErrorKind::BadConfiguration, joinLines(problems));
    }
    return result;
}

std::string describeOptions(const std::vector<OptionInfo> &options)
{
    std::string text;
    for (const OptionInfo &option : options) {
        text += "  " + flagName(option) + (internal::isSwitch(option) ? "" : " " + option.placeholder) + "\n";
        text += "      " + option.help + "\n";
        if (internal::isSwitch(option)) {
            text += "      Variable: " + variableName(option) + " (1 or 0)\n";
            continue;
        }
        text += "      Allowed: " + option.allowed + ". ";
        text += option.defaultValue ? "Default: " + (option.defaultValue->empty() ? "none" : *option.defaultValue)
                                    : "Must be given";
        text += ". Variable: " + variableName(option) + "\n";
    }
    return text;
}

std::optional<std::uint64_t> parseNumber(std::string_view text, std::uint64_t minimum, std::uint64_t maximum)
{
    std::uint64_t number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool complete = problem == std::errc() && end == text.data() + text.size();
    if (!complete || number < minimum || number > maximum) {
        return std::nullopt;
    }
    return number;
}

std::optional<double> parseDecimal(const std::string &text, double minimum, double maximum)
{
    double number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool complete = problem == std::errc() && end == text.data() + text.size();
    if (!complete || !(number >= minimum && number <= maximum)) {
        return std::nullopt;
    }
    return number;
}

} // namespace mulberryplank
