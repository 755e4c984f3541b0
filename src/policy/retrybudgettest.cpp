#include "mulberryplank/policy/retrybudget.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // redefines new, so it comes last

using namespace mulberryplank;

TEST_GROUP(RetryBudget) {};

// Failure: an outage doubles the load on the targets that are left.
TEST(RetryBudget, extraAttemptsStayBelowTheirShareOfSuccesses)
{
    CHECK_TRUE(rc::check("extra attempts are bounded", [](const std::vector<bool> &succeeds) {
        const RetryBudgetSettings settings;
        RetryBudget budget(settings);
        double successes = 0;
        double extra = 0;
        for (const bool success : succeeds) {
            if (success) {
                budget.onSuccess();
                ++successes;
            } else if (budget.trySpend()) {
                ++extra;
            }
            RC_ASSERT(extra <= settings.share * successes + settings.initial + 1e-6);
        }
    }));
}

TEST(RetryBudget, outageSpendsNoMoreThanWhatPiledUp)
{
    RetryBudget budget;
    for (int success = 0; success < 10'000; ++success) {
        budget.onSuccess();
    }
    int spent = 0;
    for (int failure = 0; failure < 10'000; ++failure) {
        spent += budget.trySpend() ? 1 : 0;
    }
    CHECK_EQUAL(10, spent);
}

TEST(RetryBudget, backoffStaysWithinItsDoublingBound)
{
    std::minstd_rand random(7);
    const BackoffSettings settings;
    for (unsigned retry = 1; retry < 100; ++retry) {
        const Duration delay = backoff(settings, retry, random);
        const Duration bound = retry < 7 ? Duration(settings.first) * (1 << (retry - 1)) : Duration(settings.maximum);
        CHECK_TRUE(delay >= Duration::zero() && delay <= bound);
    }
}
