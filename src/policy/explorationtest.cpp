#include "mulberryplank/policy/exploration.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Now { Seconds(1'000) };
constexpr std::size_t FewTargets = 12;
constexpr std::size_t ManyTargets = 280;
constexpr TrialCandidate Doubtful { 0, 0.7, false, Seconds(5) };

// Records requests whose only attempt fails, one in `every`.
void recordLosses(Exploration &exploration, int requests, int every)
{
    for (int i = 0; i < requests; ++i) {
        exploration.recordAttempt(false, true, false, Now);
        if (i % every == 0) {
            exploration.recordFailure(false, Now);
        }
    }
}

} // namespace

TEST_GROUP(Exploration)
{
    Exploration exploration;
    std::mt19937_64 random { 7 };

    void setup() override
    {
        exploration.setService(ManyTargets, 0.3);
    }

    // Returns the candidates that 1,000 requests test, in the order of the requests.
    std::vector<std::size_t> tested(const std::vector<TrialCandidate> &candidates)
    {
        std::vector<std::size_t> indexes;
        for (int i = 0; i < 1'000; ++i) {
            if (const std::optional<std::size_t> index = exploration.choose(candidates, random)) {
                indexes.push_back(*index);
            }
        }
        return indexes;
    }
};

TEST(Exploration, DoubtfulTargetIsDueLaterThanOthers)
{
    CHECK(exploration.dueAfter(Doubtful) > Seconds(4));
    CHECK(exploration.dueAfter({ 0, 0.3, false, {} }) < Seconds(2));
}

// Guards against a target that has recovered staying unused because of the failures before its last response.
TEST(Exploration, TargetThatHasRespondedIsNotDoubtful)
{
    TrialCandidate responded = Doubtful;
    responded.hasResponded = true;
    CHECK(exploration.dueAfter(responded) < Seconds(2));
}

// Guards against one recovered target of a few staying unused, which is a large share of them.
TEST(Exploration, DoubtfulTargetOfFewIsDueEarlier)
{
    exploration.setService(FewTargets, 0.3);
    CHECK(exploration.dueAfter(Doubtful) < Seconds(3));
}

// Guards against recovered targets staying unused while more than a tenth of the requests is lost.
TEST(Exploration, DoubtfulTargetIsDueLikeOthersWhileRequestsAreLost)
{
    recordLosses(exploration, 400, 10);
    CHECK(exploration.dueAfter(Doubtful) < Seconds(2));
}

TEST(Exploration, LossesLoseTheirWeightOverTime)
{
    recordLosses(exploration, 400, 10);
    exploration.recordAttempt(false, true, false, Now + Seconds(20));
    CHECK(exploration.dueAfter(Doubtful) > Seconds(4));
}

// Guards against overload of the targets in use while recovered ones stay unused.
TEST(Exploration, DoubtfulTargetIsDueLikeOthersWhileCapacityIsShort)
{
    exploration.setService(ManyTargets, 0.9);
    CHECK(exploration.dueAfter(Doubtful) < Seconds(2));
}

// Guards against trials soon after each fault because of a response to a request that was sent before it.
TEST(Exploration, TargetThatFailedAMomentAgoIsDoubtfulAfterAResponse)
{
    CHECK(TrialCandidate({ 0, 0.94, true, {} }).isDoubtful());
}

TEST(Exploration, AttemptThatWasRepeatedIsNotALostRequest)
{
    for (int i = 0; i < 100; ++i) {
        exploration.recordAttempt(true, true, true, Now);
        exploration.recordFailure(true, Now);
        exploration.recordAttempt(true, false, false, Now);
    }
    DOUBLES_EQUAL(0, exploration.lostShare(Now), 1e-9);
}

// Guards against hedges, whose first attempts don't fail, hiding lost requests of the other kind.
TEST(Exploration, HedgesHideNoLostRequests)
{
    for (int i = 0; i < 100; ++i) {
        exploration.recordAttempt(true, true, true, Now);
        exploration.recordAttempt(true, false, false, Now);
    }
    recordLosses(exploration, 100, 2);
    CHECK(exploration.lostShare(Now) > 0.2);
}

// Guards against a trial by most requests of a process that has just started, because its first request failed.
TEST(Exploration, FirstFailureIsNoTrend)
{
    recordLosses(exploration, 1, 1);
    CHECK(exploration.lostShare(Now) < 0.1);
}

// Guards against a large share of the idempotent requests failing at first.
TEST(Exploration, FewRequestsTestDoubtfulTargets)
{
    const std::size_t trials = tested({ { 0, 0.7, false, Millis(4'500) } }).size();
    CHECK(trials > 150 && trials < 250);
    CHECK_EQUAL(trials, exploration.counts().doubtful);
    CHECK_EQUAL(0, exploration.counts().others);
}

TEST(Exploration, NoRequestTestsATargetThatIsNotDue)
{
    CHECK(tested({ { 0, 0.7, false, Seconds(3) }, { 1, 0.3, false, Seconds(1) } }).empty());
}

TEST(Exploration, LikeliestRecoveredTargetIsTestedFirst)
{
    const std::vector<std::size_t> indexes = tested(
        { { 0, 0.9, false, Millis(4'600) }, { 1, 0.6, false, Millis(4'500) }, { 2, 0.8, false, Millis(4'600) } });
    CHECK(std::set<std::size_t>(indexes.begin(), indexes.end()) == std::set<std::size_t> { 1 });
}

// Guards against a target that always seems the least likely to have recovered never being tested.
TEST(Exploration, TargetThatHasWaitedLongIsTestedBeforeLikelierOnes)
{
    const std::vector<std::size_t> indexes =
        tested({ { 0, 0.9, false, Seconds(6) }, { 1, 0.6, false, Millis(4'500) } });
    CHECK(std::set<std::size_t>(indexes.begin(), indexes.end()) == std::set<std::size_t> { 0 });
}

// Guards against all processes testing the same target at once.
TEST(Exploration, ProcessesTestDifferentTargets)
{
    std::vector<TrialCandidate> candidates;
    for (std::size_t index = 0; index < 40; ++index) {
        candidates.push_back({ index, 0.6, false, Millis(4'500) });
    }
    const std::vector<std::size_t> indexes = tested(candidates);
    CHECK(std::set<std::size_t>(indexes.begin(), indexes.end()).size() > candidates.size() / 2);
}

// Guards against healthy targets staying unused because all trials go to doubtful ones.
TEST(Exploration, OtherUnusedTargetsAreUsedBesideDoubtfulOnes)
{
    const std::vector<std::size_t> indexes = tested({ { 0, 0.9, false, Seconds(6) }, { 1, 0.3, false, Seconds(2) } });
    CHECK_EQUAL(2, std::set<std::size_t>(indexes.begin(), indexes.end()).size());
}

// Guards against lost non-idempotent requests where idempotent ones can make the trials, and against unused targets
// where there are none.
TEST(Exploration, NonIdempotentRequestsTestTargetsOnlyIfNoOthersDo)
{
    CHECK(exploration.overdueAfter(Doubtful, Now) < Seconds(2));
    exploration.recordAttempt(true, true, true, Now);
    CHECK(exploration.overdueAfter(Doubtful, Now) > exploration.dueAfter(Doubtful));
    CHECK(exploration.overdueAfter(Doubtful, Now + Seconds(10)) < Seconds(2));
}
