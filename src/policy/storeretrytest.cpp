#include "mulberryplank/policy/storeretry.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };

// Returns how many calls `processes` make in `outage`, each trying as often as it may.
int callsIn(Duration outage, std::size_t processes, std::size_t sharingProcesses)
{
    std::vector<StoreRetry> retries;
    for (std::size_t index = 0; index < processes; ++index) {
        retries.emplace_back(StoreRetrySettings {}, static_cast<double>(index) / static_cast<double>(processes));
    }
    int calls = 0;
    for (Instant now = Start; now < Start + outage; now += Millis(5)) {
        for (StoreRetry &retry : retries) {
            if (retry.mayTry(now, sharingProcesses)) {
                ++calls;
                retry.onFailure(now);
            }
        }
    }
    return calls;
}

} // namespace

TEST_GROUP(StoreRetry) {};

TEST(StoreRetry, AProcessOnItsOwnTriesTwiceASecond)
{
    CHECK(callsIn(Seconds(8), 1, 0) >= 12);
    CHECK(callsIn(Seconds(8), 1, 0) <= 24);
}

// Failure: an outage of the store costs more in calls than the requests that fail in it.
TEST(StoreRetry, ManyProcessesTogetherTryNotMuchMoreOftenThanFew)
{
    const int few = callsIn(Seconds(8), 10, 10);
    const int many = callsIn(Seconds(8), 40, 40);
    CHECK(few <= 10 * 2 + 8 * 12);
    CHECK(many <= 40 * 2 + 8 * 12);
}

TEST(StoreRetry, AfterOneFailureTheNextTryFollowsSoon)
{
    StoreRetry retry({}, 1);
    retry.onFailure(Start);
    CHECK_FALSE(retry.mayTry(Start + Millis(100), 40));
    CHECK(retry.mayTry(Start + Millis(320), 40));
}

TEST(StoreRetry, AHintEndsThePause)
{
    StoreRetry retry({}, 0.5);
    retry.onFailure(Start);
    retry.onFailure(Start);
    CHECK_FALSE(retry.mayTry(Start + Seconds(3), 40));
    retry.reset();
    CHECK(retry.mayTry(Start, 40));
}

// Failure: after the death of the process that reads for the others, nobody reads for seconds.
TEST(StoreRetry, WhoBecomesTheOneThatTriesDoesSoSoon)
{
    StoreRetry retry({}, 1);
    retry.onFailure(Start);
    retry.onFailure(Start);
    CHECK_FALSE(retry.mayTry(Start + Millis(700), 40));
    CHECK(retry.mayTry(Start + Millis(700), 0));
}
