#include "mulberryplank/policy/windowbudget.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };

} // namespace

TEST_GROUP(WindowBudget) {};

TEST(WindowBudget, slackIsThereWithoutRequestsAndComesBackAfterTheWindow)
{
    WindowBudget budget({ 0.2, Seconds(10), 2 });
    CHECK_TRUE(budget.trySpend(Start));
    CHECK_TRUE(budget.trySpend(Start));
    CHECK_FALSE(budget.trySpend(Start + Seconds(9)));
    CHECK_TRUE(budget.trySpend(Start + Seconds(12)));
}

TEST(WindowBudget, reserveIsLeftForOthers)
{
    WindowBudget budget({ 0, Seconds(10), 2 });
    CHECK_FALSE(budget.trySpend(Start, 2));
    CHECK_TRUE(budget.trySpend(Start, 1));
}

TEST(WindowBudget, noWindowHoldsMoreThanRatioAndSlackAllow)
{
    CHECK_TRUE(rc::check("sliding windows", [] {
        const double slack = *rc::gen::inRange(0, 5);
        WindowBudget budget({ 0.25, Seconds(10), slack });
        std::vector<Instant> requests;
        std::vector<Instant> spent;
        Instant now = Start;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            now += Millis(*rc::gen::inRange(0, 600));
            if (*rc::gen::inRange(0, 2) == 0) {
                budget.onRequest(now);
                requests.push_back(now);
            } else if (budget.trySpend(now)) {
                spent.push_back(now);
            }
        }
        for (const Instant begin : spent) {
            const auto within = [begin](Instant at) {
                return at >= begin && at < begin + Seconds(10);
            };
            // A window is allowed what its requests or those of the window before it earn.
            const auto earlier = [begin](Instant at) {
                return at >= begin - Seconds(10) && at < begin + Seconds(10);
            };
            const auto extra = std::count_if(spent.begin(), spent.end(), within);
            const auto earned = std::count_if(requests.begin(), requests.end(), earlier);
            RC_ASSERT(static_cast<double>(extra) <= 0.25 * static_cast<double>(earned) + slack);
        }
    }));
}
