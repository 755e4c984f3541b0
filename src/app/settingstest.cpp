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
class Surroundings
{
public:
    std::map<std::string, std::string> flags;
    std::map<std::string, std::string> variables;

    Surroundings()
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

    ~Surroundings()
    {
        std::filesystem::remove(m_keyFile);
    }

    Surroundings(const Surroundings &) = delete;
    Surroundings &operator=(const Surroundings &) = delete;

    Result<CheckedSettings> check() const
    {
        std::vector<std::string> words { "proxy" };
        for (const auto &[name, value] : flags) {
            words.push_back("--" + name);
            words.push_back(value);
        }
        std::vector<char *> argv;
        for (std::string &word : words) {
            argv.push_back(word.data());
        }
        argv.push_back(nullptr);
        return checkSettings(static_cast<int>(words.size()), argv.data(), [this](const std::string &variable) {
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

const std::map<std::string, std::string> &badValues()
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

const OptionInfo &optionOf(const std::string &name)
{
    return *std::find_if(settingOptions().begin(), settingOptions().end(), [&](const OptionInfo &option) {
        return option.name == name;
    });
}

std::string expectedRefusal(const std::string &source, const std::string &name)
{
    return source + ": '" + badValues().at(name) + "' is not allowed; allowed: " + optionOf(name).allowed;
}

} // namespace

TEST_GROUP(Settings) {};

TEST(Settings, flagWinsOverEnvironmentWhichWinsOverDefault)
{
    CHECK_TRUE(rc::check("the nearest source given decides", [](bool flagGiven, bool variableGiven) {
        Surroundings surroundings;
        if (flagGiven) {
            surroundings.flags["threads"] = "11";
        }
        if (variableGiven) {
            surroundings.variables["MULBERRYPLANK_THREADS"] = "7";
        }
        const Result<CheckedSettings> checked = surroundings.check();
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

TEST(Settings, everyBadValueIsRefusedWithFlagOrVariableAndValueAndWhatIsAllowed)
{
    CHECK_EQUAL(settingOptions().size(), badValues().size());
    for (const OptionInfo &option : settingOptions()) {
        Surroundings byFlag;
        byFlag.flags[option.name] = badValues().at(option.name);
        STRCMP_EQUAL(expectedRefusal(flagOf(option), option.name).c_str(), byFlag.problems().c_str());

        Surroundings byVariable;
        byVariable.flags.erase(option.name);
        byVariable.variables[variableOf(option)] = badValues().at(option.name);
        STRCMP_EQUAL(expectedRefusal(variableOf(option), option.name).c_str(), byVariable.problems().c_str());
    }
}

TEST(Settings, everythingWrongIsToldAtOnce)
{
    Surroundings surroundings;
    surroundings.flags = badValues();
    const std::string problems = surroundings.problems();
    for (const auto &[name, value] : badValues()) {
        CHECK_TEXT(problems.find(expectedRefusal("--" + name, name)) != std::string::npos, name.c_str());
    }
}

TEST(Settings, settingWithoutDefaultMustBeGiven)
{
    for (const OptionInfo &option : settingOptions()) {
        Surroundings surroundings;
        surroundings.flags.erase(option.name);
        const bool missing = surroundings.problems().find(flagOf(option) + " (or " + variableOf(option)) == 0;
        CHECK_EQUAL_TEXT(!option.fallback.has_value(), missing, option.name.c_str());
    }
}

// Failure: a proxy serves callers on the address on which peers or operators expect another protocol.
TEST(Settings, ownAddressesMustDiffer)
{
    Surroundings surroundings;
    surroundings.flags["admin"] = surroundings.flags["listen"];
    CHECK_TRUE(surroundings.problems().starts_with("--listen and --admin: both are '127.0.0.1:8080'"));
}

// Failure: callers see refused connections each time a proxy is replaced.
TEST(Settings, drainMustOutlastWhatCallersWereTold)
{
    Surroundings surroundings;
    surroundings.flags["drain-limit-ms"] = "5000";
    surroundings.flags["locate-lifetime-ms"] = "5000";
    CHECK_TRUE(surroundings.problems().starts_with("--drain-limit-ms: '5000' is not allowed"));
}

TEST(Settings, variableThatIsNoSettingIsFound)
{
    const std::vector<std::string> unknown =
        unknownVariables(settingOptions(), { "PATH", "MULBERRYPLANK_THREADS", "MULBERRYPLANK_THREDS" });
    CHECK_EQUAL(1u, unknown.size());
    STRCMP_EQUAL("MULBERRYPLANK_THREDS", unknown.front().c_str());
}

TEST(Settings, pageForOperatorsListsEverySettingAsItIs)
{
    std::ifstream file(MULBERRYPLANK_SOURCE_DIR "/docs/OPERATORS.md");
    std::ostringstream text;
    text << file.rdbuf();
    for (const OptionInfo &option : settingOptions()) {
        const std::string fallback =
            option.fallback ? (option.fallback->empty() ? "none" : *option.fallback) : "must be given";
        const std::string row = "| `" + flagOf(option) + " " + option.placeholder + "` | `" + variableOf(option)
                                + "` | " + fallback + " | " + option.allowed + " | " + option.help + " |\n";
        CHECK_TEXT(text.str().find(row) != std::string::npos, row.c_str());
    }
}
