#include "mulberryplank/policy/deadline.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

const Instant Arrived = Instant(std::chrono::hours(1));

Duration given(std::string_view value)
{
    return deadlineFor(value, Route {}, Arrived)->remaining(Arrived);
}

} // namespace

TEST_GROUP(Deadline) {};

TEST(Deadline, callersDeadlineIsCappedByTheRoute)
{
    CHECK_TRUE(given("") == Route {}.timeout);
    CHECK_TRUE(given("250") == Millis(250));
    CHECK_TRUE(given("18446744073709551615") == Route {}.timeout);
}

TEST(Deadline, valueOtherThanPositiveWholeNumberIsRejected)
{
    for (const char *value : { "0", "-1", "+5", "1.5", "5 ", "soon", "99999999999999999999" }) {
        CHECK_FALSE_TEXT(deadlineFor(value, Route {}, Arrived).has_value(), value);
    }
}

// Guards against a target working on a request whose caller has already left.
TEST(Deadline, targetGetsTheRemainingTimeRoundedDown)
{
    const Deadline deadline(Arrived, Millis(100));
    STRCMP_EQUAL("99", deadline.forTarget(Arrived + std::chrono::microseconds(1)).c_str());
    STRCMP_EQUAL("0", deadline.forTarget(Arrived + Seconds(1)).c_str());
}
