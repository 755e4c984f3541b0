#include "mulberryplank/app/settings.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

// A command line and an environment, with the key files that a proxy's settings need.
class SettingsInput
{
public:
    std::map<std::string, std::string> flags;
    std::map<std::string, std::string> variables;

    SettingsInput()
        : m_keyFile(std::filesystem::temp_directory_path() / "mulberryplank-settingstest.key")
    {
        std::ofstream(m_keyFile) << "# fleet\n0123456789abcdef0123456789abcdef\n";
        flags = { { "vm", "vm-1" },
                  { "failure-domain", "klein-hall" },
                  { "listen", "127.0.0.1:8080" },
                  { "admin", "127.0.0.1:8081" },
                  { "peer", "127.0.0.1:8082" },
                  { "log", "127.0.0.1:9000" },
                  { "vm-list", "127.0.0.1:9001" },
                  { "fleet-key-file", m_keyFile.string() },
                  { "operator-key-file", m_keyFile.string() } };
    }

    ~SettingsInput()
    {
        std::filesystem::remove(m_keyFile);
    }

    SettingsInput(const SettingsInput &) = delete;
    SettingsInput &operator=(const SettingsInput &) = delete;

    Result<CheckedSettings> check() const
    {
        std::vector<std::string> arguments { "proxy" };
        for (const auto &[name, value] : flags) {
            arguments.push_back("--" + name);
            arguments.push_back(value);
        }
        std::vector<char *> argv;
        for (std::string &argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        return checkSettings(static_cast<int>(arguments.size()), argv.data(), [this](const std::string &variable) {
            const auto found = variables.find(variable);
            return found == variables.end() ? std::nullopt : std::optional(found->second);
        });
    }

    std::string problems() const
    {
        const Result<CheckedSettings> checked = check();
        return checked ? "" : checked.error().detail;
    }

private:
    std::filesystem::path m_keyFile;
};

const std::map<std::string, std::string> &invalidValues()
{
    static const std::map<std::string, std::string> Values {
        { "vm", "two words" },
        { "failure-domain", "" },
        { "listen", "0.0.0.0:80" },
        { "admin", "localhost:80" },
        { "peer", "127.0.0.1:0" },
        { "seeds", "127.0.0.1:1,,127.0.0.1:2" },
        { "log", "127.0.0.1" },
        { "vm-list", "127.0.0.1:65536" },
        { "threads", "2x" },
        { "fleet-key-file", "/nonexistent/key" },
        { "operator-key-file", "/dev/null" },
        { "drain-limit-ms", "-1" },
        { "locate-lifetime-ms", "1e3" },
        { "log-level", "INFO" },
        { "log-file", "/nonexistent/events.log" },
        { "last-known-file", "/nonexistent/snapshot" },
    };
    return Values;
}

const OptionInfo &findOption(const std::string &name)
{
    return *std::find_if(settingOptions().begin(), settingOptions().end(), [&](const OptionInfo &option) {
        return option.name == name;
    });
}

std::string expectedError(const std::string &source, const std::string &name)
{
    return source + ": '" + invalidValues().at(name) + "' is not allowed; allowed: " + findOption(name).allowed;
}

} // namespace

TEST_GROUP(Settings) {};

TEST(Settings, flagWinsOverEnvironmentWhichWinsOverDefault)
{
    CHECK_TRUE(rc::check("the nearest source given decides", [](bool flagGiven, bool variableGiven) {
        SettingsInput input;
        if (flagGiven) {
            input.flags["threads"] = "11";
        }
        if (variableGiven) {
            input.variables["MULBERRYPLANK_THREADS"] = "7";
        }
        const Result<CheckedSettings> checked = input.check();
        RC_ASSERT(checked.has_value());
        const std::size_t expected = flagGiven ? 11 : variableGiven ? 7 : 2;
        const Origin origin = flagGiven ? Origin::Flag : variableGiven ? Origin::Environment : Origin::Default;
        RC_ASSERT(checked->settings.threads == expected);
        const auto effective =
            std::find_if(checked->effective.begin(), checked->effective.end(), [](const auto &entry) {
                return entry.name == "threads";
            });
        RC_ASSERT(effective->origin == origin);
        RC_ASSERT(effective->value == std::to_string(expected));
    }));
}

TEST(Settings, invalidValueIsReportedWithItsSourceAndAllowedValues)
{
    CHECK_EQUAL(settingOptions().size(), invalidValues().size());
    for (const OptionInfo &option : settingOptions()) {
        SettingsInput byFlag;
        byFlag.flags[option.name] = invalidValues().at(option.name);
        STRCMP_EQUAL(expectedError(flagName(option), option.name).c_str(), byFlag.problems().c_str());

        SettingsInput byVariable;
        byVariable.flags.erase(option.name);
        byVariable.variables[variableName(option)] = invalidValues().at(option.name);
        STRCMP_EQUAL(expectedError(variableName(option), option.name).c_str(), byVariable.problems().c_str());
    }
}

TEST(Settings, allInvalidValuesAreReportedTogether)
{
    SettingsInput input;
    input.flags = invalidValues();
    const std::string problems = input.problems();
    for (const auto &[name, value] : invalidValues()) {
        CHECK_TEXT(problems.find(expectedError("--" + name, name)) != std::string::npos, name.c_str());
    }
}

TEST(Settings, settingWithoutDefaultMustBeGiven)
{
    for (const OptionInfo &option : settingOptions()) {
        SettingsInput input;
        input.flags.erase(option.name);
        const bool missing = input.problems().find(flagName(option) + " (or " + variableName(option)) == 0;
        CHECK_EQUAL_TEXT(!option.defaultValue.has_value(), missing, option.name.c_str());
    }
}

// Failure: a proxy serves callers on the address on which peers or operators expect another protocol.
TEST(Settings, ownAddressesMustDiffer)
{
    SettingsInput input;
    input.flags["admin"] = input.flags["listen"];
    CHECK_TRUE(input.problems().starts_with("--listen and --admin: both are '127.0.0.1:8080'"));
}

// Failure: callers see refused connections each time a proxy is replaced.
TEST(Settings, drainLimitMustExceedLocateLifetime)
{
    SettingsInput input;
    input.flags["drain-limit-ms"] = "5000";
    input.flags["locate-lifetime-ms"] = "5000";
    CHECK_TRUE(input.problems().starts_with("--drain-limit-ms: '5000' is not allowed"));
}

TEST(Settings, unknownVariableIsDetected)
{
    const std::vector<std::string> unknown =
        unknownVariables(settingOptions(), { "PATH", "MULBERRYPLANK_THREADS", "MULBERRYPLANK_THREDS" });
    CHECK_EQUAL(1u, unknown.size());
    STRCMP_EQUAL("MULBERRYPLANK_THREDS", unknown.front().c_str());
}

TEST(Settings, operatorsPageListsEverySetting)
{
    std::ifstream file(MULBERRYPLANK_SOURCE_DIR "/docs/OPERATORS.md");
    std::ostringstream text;
    text << file.rdbuf();
    for (const OptionInfo &option : settingOptions()) {
        const std::string defaultValue =
            option.defaultValue ? (option.defaultValue->empty() ? "none" : *option.defaultValue) : "must be given";
        const std::string row = "| `" + flagName(option) + " " + option.placeholder + "` | `" + variableName(option)
                                + "` | " + defaultValue + " | " + option.allowed + " | " + option.help + " |\n";
        CHECK_TEXT(text.str().find(row) != std::string::npos, row.c_str());
    }
}
