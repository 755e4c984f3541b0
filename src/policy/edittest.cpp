#include "mulberryplank/policy/edit.h"

#include <rapidcheck.h>

#include "configtestdata.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;
using namespace mulberryplank::testdata;

TEST_GROUP(Edit) { static std::string decodeErrorOf(const std::string &text) { const auto edit = decodeEdit(text);
return edit ? "" : edit.error().detail;
}

static void checkContains(const std::string &error, const std::string &place)
{
    STRCMP_CONTAINS(place.c_str(), error.c_str());
}
}
;

TEST(Edit, decodesToWhatWasEncoded)
{
    CHECK_TRUE(rc::check("an edit survives the log", [] {
        const auto log = generateLog();
        for (const std::string &text : log) {
            if (const auto edit = decodeEdit(text)) {
                RC_ASSERT(encodeEdit(*edit) == text);
                RC_ASSERT(decodeEdit(encodeEdit(*edit)).value() == *edit);
            }
        }
    }));
}

TEST(Edit, namesTheFieldThatIsWrong)
{
    const Change valid { account("a"), false };
    checkContains(decodeErrorOf(record("e", { valid, { service("s"), false }, { row("a", "s", 10'001), false } })),
                  "changes[2].weight: must be 1 to 10000, not \"10001\"");
    Target named = target("t", "s");
    named.host = "proof.example";
    checkContains(decodeErrorOf(record("e", { { named, false } })), "changes[0].host: must be an IP number");
    Service slow = service("s");
    slow.routes[0].timeout = Millis(0);
    checkContains(decodeErrorOf(record("e", { { slow, false } })), "changes[0].routes[0].timeout_ms");
    checkContains(
        decodeErrorOf(R"({"v":1,"id":"e","changes":[{"kind":"row","account":"a","service":"s","wieght":2}]})"),
        "changes[0].wieght: no such field");
    checkContains(
        decodeErrorOf(R"({"v":1,"id":"e","changes":[{"kind":"row","account":"a","service":"s","weight":-1}]})"),
        "changes[0].weight: must be a whole number in range, not -1");
    checkContains(decodeErrorOf(R"({"v":1,"id":"e","changes":[{"kind":"row","account":"a"}]})"), "changes[0].service");
    checkContains(decodeErrorOf(record("e", { valid, valid })), "changes[1]: account a stands in this edit twice");
    checkContains(decodeErrorOf("{"), "not JSON");
}

TEST(Edit, newerFormatIsToldFromDamage)
{
    checkContains(decodeErrorOf(R"({"v":2,"id":"e","verdicts":[]})"),
                  "v: format newer than 1 needs a newer mulberryplank, not 2");
}
