#include "mulberryplank/app/gatewaysettings.h"

#include <fstream>
#include <map>
#include <sstream>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/app/settingsfile.h"

using namespace mulberryplank;

namespace
{

// The flags and environment of a gateway, with all required settings.
class SettingsFixture
{
public:
    Result<CheckedGatewaySettings> check() const
    {
        std::vector<std::string> words { "gateway" };
        for (const auto &[name, value] : flags) {
            words.push_back("--" + name);
            words.push_back(value);
        }
        std::vector<char *> argv;
        for (std::string &word : words) {
            argv.push_back(word.data());
        }
        return checkGatewaySettings(static_cast<int>(argv.size()),
                                    argv.data(),
                                    [this](const std::string &variable) -> std::optional<std::string> {
                                        const auto found = variables.find(variable);
                                        return found == variables.end() ? std::nullopt : std::optional(found->second);
                                    });
    }

    std::map<std::string, std::string> flags;
    std::map<std::string, std::string> variables {
        { "MULBERRYPLANK_VM", "vm-1" },           { "MULBERRYPLANK_FAILURE_DOMAIN", "hall" },
        { "MULBERRYPLANK_LISTEN", "10.0.0.1:1" }, { "MULBERRYPLANK_READY", "10.0.0.1:2" },
        { "MULBERRYPLANK_LOCATE", "10.0.0.1:3" }, { "MULBERRYPLANK_PEER", "10.0.0.1:4" },
        { "MULBERRYPLANK_STORE", "10.0.0.9:5" },
    };
};

const std::map<std::string, std::string> &badGatewayValues()
{
    static const std::map<std::string, std::string> Values {
        { "vm", "two words" },      { "failure-domain", "" },    { "listen", "0.0.0.0:80" },    { "ready", "x" },
        { "locate", "10.0.0.1" },   { "peer", "10.0.0.1:0" },    { "store", "host:80" },        { "heartbeat-ms", "0" },
        { "grace-s", "-1" },        { "cpu-share", "much" },     { "locate-lifetime-s", "" },   { "retry-ratio", "11" },
        { "retry-window-s", "1x" }, { "retry-slack", "-3" },     { "entries-per-domain", "0" }, { "log-level", "loud" },
        { "first-start", "yes" },   { "account-window-s", "0" }, { "stay-in-domain", "401" },   { "buffer-mb", "0.5" },
    };
    return Values;
}

std::string writeFile(const std::string &text)
{
    const std::string path = "/tmp/mulberryplank-gatewaysettingstest.env";
    std::ofstream(path) << text;
    return path;
}

} // namespace

TEST_GROUP(GatewaySettings) {};

TEST(GatewaySettings, flagsOverrideEnvironmentWhichOverridesTheFile)
{
    SettingsFixture fixture;
    fixture.flags["config"] = writeFile(
        "# comment\n\nMULBERRYPLANK_GRACE_S=7.5\nMULBERRYPLANK_HEARTBEAT_MS=900\nMULBERRYPLANK_RETRY_RATIO=0.5\n");
    fixture.variables["MULBERRYPLANK_HEARTBEAT_MS"] = "800";
    fixture.variables["MULBERRYPLANK_RETRY_RATIO"] = "0.4";
    fixture.flags["retry-ratio"] = "0.3";
    const Result<CheckedGatewaySettings> checked = fixture.check();
    CHECK_TRUE(checked.has_value());
    CHECK_TRUE(checked->settings.grace == Millis(7'500));
    CHECK_TRUE(checked->settings.heartbeat == Millis(800));
    DOUBLES_EQUAL(0.3, checked->settings.retryRatio, 1e-9);
}

TEST(GatewaySettings, everyInvalidValueIsReportedWithItsNameAndTheAllowedValues)
{
    CHECK_EQUAL(gatewayOptions().size() - 1, badGatewayValues().size()); // all but the file
    for (const auto &[name, value] : badGatewayValues()) {
        SettingsFixture fixture;
        fixture.flags[name] = value;
        const Result<CheckedGatewaySettings> checked = fixture.check();
        CHECK_FALSE(checked.has_value());
        CHECK_TRUE(checked.error().detail.find("--" + name + ": '" + value + "' is not allowed") != std::string::npos);
    }
}

TEST(GatewaySettings, everyMissingRequiredSettingIsReported)
{
    SettingsFixture fixture;
    fixture.variables.clear();
    const std::string detail = fixture.check().error().detail;
    for (const char *name : { "--vm", "--failure-domain", "--listen", "--ready", "--locate", "--peer", "--store" }) {
        CHECK_TRUE(detail.find(name) != std::string::npos);
    }
}

TEST(GatewaySettings, unreadableFileIsReportedByName)
{
    SettingsFixture fixture;
    fixture.flags["config"] = "/nonexistent/gateway.env";
    CHECK_TRUE(fixture.check().error().detail.find("/nonexistent/gateway.env") != std::string::npos);
}

TEST(GatewaySettings, invalidLinesOfAFileAreReportedByLine)
{
    CHECK_TRUE(parseSettingsFile("A=1\nB\n", "f").error().detail.find("f, line 2") != std::string::npos);
    CHECK_TRUE(parseSettingsFile("A=1\nA=2\n", "f").error().detail.find("twice") != std::string::npos);
    STRCMP_EQUAL("x=y", parseSettingsFile("A=x=y\r\n", "f")->at("A").c_str());
}

TEST(GatewaySettings, operationsPageListsEverySettingWithItsDefault)
{
    std::ifstream file(MULBERRYPLANK_SOURCE_DIR "/docs/OPERATIONS.md");
    std::stringstream page;
    page << file.rdbuf();
    for (const OptionInfo &option : gatewayOptions()) {
        const std::string defaultValue = !option.defaultValue           ? "must be given"
                                         : option.defaultValue->empty() ? "none"
                                                                        : *option.defaultValue;
        const std::string row = "| `--" + option.name + "` | " + defaultValue + " |";
        CHECK_TRUE_TEXT(page.str().find(row) != std::string::npos, row.c_str());
    }
}
