#include "mulberryplank/policy/priorityshare.h"

#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr Duration Step = Millis(10);
constexpr double PerSecond = 100; // that is available

PriorityShare dividedShare()
{
    PriorityShare share({});
    share.setAvailable(PerSecond);
    return share;
}

// Records steady demand of each priority for some seconds, and returns the time after it.
Instant recordDemand(PriorityShare &share, const std::vector<double> &perSecond)
{
    Instant now = Start;
    for (; now < Start + Seconds(6); now += Step) {
        for (std::size_t priority = 0; priority < perSecond.size(); ++priority) {
            share.recordDemand(static_cast<std::uint32_t>(priority), perSecond[priority] * toSeconds(Step), now);
        }
    }
    return now;
}

// Plays a token bucket of one second's amount that requests of several priorities use, and returns the share of each
// one's requests that were served.
std::vector<double> served(const std::vector<double> &perSecond, double available)
{
    PriorityShare share({});
    share.setAvailable(available);
    std::mt19937_64 random(1);
    std::vector<double> wanted(perSecond.size());
    std::vector<double> got(perSecond.size());
    double tokens = available;
    for (Instant now = Start; now < Start + Seconds(120); now += Millis(1)) {
        tokens = std::min(tokens + available * 1e-3, available);
        for (std::size_t index = perSecond.size(); index-- > 0;) {
            const auto priority = static_cast<std::uint32_t>(index);
            for (int count = std::poisson_distribution<int>(perSecond[index] * 1e-3)(random); count > 0; --count) {
                ++wanted[index];
                share.recordDemand(priority, 1, now);
                if (tokens < 1 + share.reserve(priority, now)) {
                    share.recordShortage(now);
                    continue;
                }
                tokens -= 1;
                share.recordGrant(priority, 1, now);
                ++got[index];
            }
        }
    }
    for (std::size_t index = 0; index < got.size(); ++index) {
        got[index] /= std::max(wanted[index], 1.0);
    }
    return got;
}

} // namespace

TEST_GROUP(PriorityShare) {};

TEST(PriorityShare, mostUrgentPriorityGetsWhatItAsksForAndTheNextWhatIsLeft)
{
    PriorityShare share = dividedShare();
    const Instant now = recordDemand(share, { 30, 50, 60 });
    DOUBLES_EQUAL(30, share.share(0, now), 1);
    DOUBLES_EQUAL(50, share.share(1, now), 1);
    DOUBLES_EQUAL(20, share.share(2, now), 1);
}

// Guards against callers of the least urgent routes that are never served.
TEST(PriorityShare, noPriorityGetsLessThanATenth)
{
    PriorityShare share = dividedShare();
    const Instant now = recordDemand(share, { 500, 500, 4 });
    DOUBLES_EQUAL(86, share.share(0, now), 1);
    DOUBLES_EQUAL(10, share.share(1, now), 1);
    DOUBLES_EQUAL(4, share.share(2, now), 1);
}

TEST(PriorityShare, nothingIsKeptWhileNothingIsShort)
{
    PriorityShare share = dividedShare();
    const Instant now = recordDemand(share, { 30, 50, 60 });
    DOUBLES_EQUAL(0, share.reserve(2, now), 0);
    share.recordShortage(now);
    CHECK_TRUE(share.reserve(2, now) > share.reserve(1, now));
    DOUBLES_EQUAL(0, share.reserve(0, now), 0);
    DOUBLES_EQUAL(0, share.reserve(2, now + Seconds(1)), 0);
}

TEST(PriorityShare, nothingIsKeptWithOnePriority)
{
    PriorityShare share = dividedShare();
    share.recordDemand(2, 500, Start);
    share.recordShortage(Start);
    CHECK_TRUE(share.isShort(Start + Millis(500)));
    DOUBLES_EQUAL(0, share.reserve(2, Start + Millis(500)), 0);
}

TEST(PriorityShare, nothingIsKeptForAPriorityWithoutRecentDemand)
{
    PriorityShare share = dividedShare();
    share.recordDemand(0, 1, Start);
    const Instant later = Start + Seconds(3);
    share.recordDemand(2, 1, later);
    share.recordShortage(later);
    DOUBLES_EQUAL(0, share.reserve(2, later), 0);
}

TEST(PriorityShare, urgentRequestsAreServedWhileTheResourceIsShort)
{
    const std::vector<double> result = served({ 20, 15, 45 }, 50);
    CHECK_TRUE(result[0] >= 0.97);
    CHECK_TRUE(result[1] >= 0.9);
    CHECK_TRUE((result[0] * 20 + result[1] * 15 + result[2] * 45) / 50 >= 0.97);
}

TEST(PriorityShare, leastUrgentRequestsGetATenthUnderExcessiveUrgentDemand)
{
    const std::vector<double> result = served({ 300, 0, 30 }, 50);
    CHECK_TRUE(result[2] * 30 >= 0.9 * PriorityShare::MinShare * 50);
    CHECK_TRUE(result[0] * 300 >= 0.85 * 50);
}
