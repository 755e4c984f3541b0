#include "mulberryplank/app/eventlog.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

#include <rapidcheck.h>

#include <array>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/base/eventfields.h"

using namespace mulberryplank;

namespace
{

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string severityName(Severity severity)
{
    constexpr std::array<const char *, 4> Names { "debug", "info", "warning", "error" };
    return Names.at(static_cast<std::size_t>(severity));
}

// Returns the beginning of the event's row in docs/EVENTS.md as it has to be.
std::string expectedRow(const EventInfo &info)
{
    std::string fields;
    for (const std::string_view field : eventFields(info.event)) {
        fields += (fields.empty() ? "" : " ") + std::string(field);
    }
    return "| " + std::to_string(static_cast<int>(info.event)) + " | " + std::string(info.name) + " | "
           + severityName(info.severity) + " | " + fields + " | ";
}

// "TargetEjected" for "target-ejected".
std::string enumeratorOf(std::string_view name)
{
    std::string enumerator;
    bool upper = true;
    for (const char character : name) {
        if (character != '-') {
            enumerator += upper ? static_cast<char>(character - 'a' + 'A') : character;
        }
        upper = character == '-';
    }
    return enumerator;
}

// Returns "file: Event field" for each field in a source file that the event's list lacks.
std::vector<std::string> unlistedFields(const std::filesystem::path &path)
{
    const std::string text = readFile(path);
    const std::regex use(R"re(Event::(\w+),\s*(\{[^;]*);)re");
    const std::regex key(R"re(\{\s*"([a-z_]+)",)re");
    std::vector<std::string> unlisted;
    for (std::sregex_iterator found(text.begin(), text.end(), use), end; found != end; ++found) {
        const auto info = std::find_if(eventCatalogue().begin(), eventCatalogue().end(), [&](const EventInfo &entry) {
            return enumeratorOf(entry.name) == (*found)[1];
        });
        if (info == eventCatalogue().end()) {
            unlisted.push_back(path.filename().string() + ": " + (*found)[1].str() + " is not in the catalogue");
            continue;
        }
        const std::string arguments = (*found)[2];
        for (std::sregex_iterator field(arguments.begin(), arguments.end(), key); field != end; ++field) {
            const std::vector<std::string_view> &listed = eventFields(info->event);
            if (std::find(listed.begin(), listed.end(), (*field)[1].str()) == listed.end()) {
                unlisted.push_back(path.filename().string() + ": " + (*found)[1].str() + " " + (*field)[1].str());
            }
        }
    }
    return unlisted;
}

} // namespace

TEST_GROUP(EventLog) {};

TEST(EventLog, catalogueOnThePageIsTheOneInTheCode)
{
    const std::string page = readFile(MULBERRYPLANK_SOURCE_DIR "/docs/EVENTS.md");
    for (const EventInfo &info : eventCatalogue()) {
        CHECK_TEXT(page.find("\n" + expectedRow(info)) != std::string::npos, expectedRow(info).c_str());
    }
    const std::regex row("\n\\| [0-9]+ \\|");
    const auto rows = std::distance(std::sregex_iterator(page.begin(), page.end(), row), std::sregex_iterator());
    CHECK_EQUAL(eventCatalogue().size(), static_cast<std::size_t>(rows));
}

TEST(EventLog, fieldsUsedInTheSourcesAreListedForTheirEvents)
{
    for (const char *layer : { "/src/policy", "/src/state", "/src/net", "/src/app" }) {
        for (const auto &entry : std::filesystem::directory_iterator(std::string(MULBERRYPLANK_SOURCE_DIR) + layer)) {
            const bool isTest = entry.path().filename().string().ends_with("test.cpp");
            const std::vector<std::string> unlisted =
                isTest ? std::vector<std::string> {} : unlistedFields(entry.path());
            CHECK_TEXT(unlisted.empty(), (unlisted.empty() ? std::string() : unlisted.front()).c_str());
        }
    }
}

TEST(EventLog, noFieldIsMeantForSecrets)
{
    for (const EventInfo &info : eventCatalogue()) {
        for (const std::string_view field : eventFields(info.event)) {
            CHECK_FALSE(
                std::regex_search(std::string(field), std::regex("secret|password|authorization|digest|token")));
        }
    }
}

// Failure: an account's or operator's credential is found in a log that many people may read.
TEST(EventLog, secretIsWithheldWhereverItStandsInAField)
{
    CHECK_TRUE(
        rc::check("no text around a secret lets it through", [](const std::string &before, const std::string &after) {
            const std::string secret = "0123456789abcdef0123456789abcdef";
            const std::string known =
                formatEvent(Event::TargetEjected, { { "detail", before + secret + after } }, { secret });
            const std::string header =
                formatEvent(Event::TargetEjected, { { "detail", before + "Bearer " + secret + after } }, {});
            const std::string unlisted =
                formatEvent(Event::TargetEjected, { { "header", before + secret + after } }, {});
            RC_ASSERT(known.find(secret) == std::string::npos);
            RC_ASSERT(header.find(secret) == std::string::npos);
            RC_ASSERT(unlisted.find(secret) == std::string::npos);
        }));
}

TEST(EventLog, noValueCanEndItsLineOrItsField)
{
    CHECK_TRUE(rc::check("a line stays one line with the fields it was given", [](const std::string &value) {
        const std::string line = formatEvent(Event::TargetEjected, { { "service", value }, { "target", "t-1" } }, {});
        RC_ASSERT(std::none_of(line.begin(), line.end(), [](unsigned char character) {
            return std::iscntrl(character) != 0;
        }));
        const std::regex fields(R"re(501 target-ejected service=("(\\.|[^"\\])*"|[^ "=]+) target=t-1)re");
        RC_ASSERT(std::regex_match(line, fields));
    }));
}

TEST(EventLog, fileHoldsTimeLevelNumberNameAndFieldsOfWhatReachesTheThreshold)
{
    const std::filesystem::path path = std::filesystem::temp_directory_path() / "mulberryplank-eventlogtest.log";
    std::filesystem::remove(path);
    {
        EventLog log({ path.string(), Severity::Warning, {} });
        const EventSink sink = log.sink();
        sink(Event::ProcessReady, { { "vm", "v-1" } });
        sink(Event::MemberDead, { { "vm", "v-2" }, { "incarnation", 7 } });
    }
    const std::string text = readFile(path);
    std::filesystem::remove(path);
    const std::regex line("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]{12}Z WARN 302 member-dead vm=v-2 incarnation=7\n");
    CHECK_TEXT(std::regex_match(text, line), text.c_str());
}

// Failure: a process ends with a segmentation fault at its first event.
TEST(EventLog, linesReachTheDescriptorGiven)
{
    std::array<int, 2> ends {};
    CHECK_EQUAL(0, ::pipe(ends.data()));
    EventLogSettings settings;
    settings.descriptor = ends[1];
    EventLog(settings).write(Event::ProcessReady, { { "vm", std::string("vm-1") } });
    std::string line(200, ' ');
    const ssize_t size = ::read(ends[0], line.data(), line.size());
    line.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    CHECK_TRUE(line.ends_with(" INFO 101 process-ready vm=vm-1\n"));
    ::close(ends[0]);
    ::close(ends[1]);
}
