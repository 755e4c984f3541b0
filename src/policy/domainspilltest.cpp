#include "mulberryplank/policy/domainspill.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

SpillRequest request()
{
    SpillRequest result;
    result.targetSeconds = 0.6;
    result.failsWithAttempt = true;
    result.maxSecondsGivenUp = 0.15;
    return result;
}

} // namespace

TEST_GROUP(DomainSpill) {};

TEST(DomainSpill, reasonsHaveDistinctNames)
{
    std::set<std::string> names;
    for (std::size_t reason = 0; reason < SpillReasons; ++reason) {
        names.emplace(toString(static_cast<SpillReason>(reason)));
    }
    CHECK_EQUAL(SpillReasons, names.size());
}

TEST(DomainSpill, staysWhileTheOwnDomainIsAsGood)
{
    CHECK_FALSE(reasonToLeave(SpillCandidate { 0.2, 0.05 }, SpillCandidate { 0.203, 0.05 }, request()).has_value());
}

TEST(DomainSpill, staysForATimeThatTheSettingAllows)
{
    CHECK_FALSE(reasonToLeave(SpillCandidate { 0.34, 0 }, SpillCandidate { 0.2, 0 }, request()).has_value());
}

TEST(DomainSpill, leavesForMoreTimeThanTheSettingAllows)
{
    CHECK_TRUE(reasonToLeave(SpillCandidate { 0.36, 0 }, SpillCandidate { 0.2, 0 }, request()) == SpillReason::Slower);
}

TEST(DomainSpill, leavesIfOnlyATargetElsewhereMeetsTheTargetLatency)
{
    CHECK_TRUE(reasonToLeave(SpillCandidate { 0.62, 0 }, SpillCandidate { 0.5, 0 }, request()) == SpillReason::Late);
}

TEST(DomainSpill, leavesIfOnlyATargetElsewhereMeetsTheDeadline)
{
    SpillRequest urgent = request();
    urgent.secondsLeft = 0.25;
    CHECK_TRUE(reasonToLeave(SpillCandidate { 0.3, 0 }, SpillCandidate { 0.2, 0 }, urgent) == SpillReason::Late);
}

// Guards against requests that are late anyway moving back and forth between domains that are all full.
TEST(DomainSpill, staysIfNoTargetMeetsTheTargetLatency)
{
    CHECK_FALSE(reasonToLeave(SpillCandidate { 0.8, 0 }, SpillCandidate { 0.7, 0 }, request()).has_value());
}

TEST(DomainSpill, leavesIfTheOwnDomainIsMuchRiskier)
{
    CHECK_TRUE(reasonToLeave(SpillCandidate { 0.2, 0.3 }, SpillCandidate { 0.2, 0.1 }, request())
               == SpillReason::Riskier);
}

TEST(DomainSpill, requestThatMayBeSentAgainAcceptsMoreRisk)
{
    SpillRequest repeatable = request();
    repeatable.failsWithAttempt = false;
    CHECK_FALSE(reasonToLeave(SpillCandidate { 0.2, 0.3 }, SpillCandidate { 0.2, 0.1 }, repeatable).has_value());
}

// Guards against a setting of 400% that keeps requests at faulty targets.
TEST(DomainSpill, theSettingDoesNotAllowMoreRisk)
{
    SpillRequest loyal = request();
    loyal.maxSecondsGivenUp = 4 * loyal.targetSeconds;
    CHECK_TRUE(reasonToLeave(SpillCandidate { 0.2, 0.9 }, SpillCandidate { 0.2, 0.1 }, loyal) == SpillReason::Riskier);
}

TEST(DomainSpill, leavesWithoutAUsableTarget)
{
    CHECK_TRUE(reasonToLeave(std::nullopt, SpillCandidate { 5, 0.9 }, request()) == SpillReason::NoUsableTarget);
}

TEST(DomainSpill, staysWithoutAUsableTargetElsewhere)
{
    CHECK_FALSE(reasonToLeave(SpillCandidate { 5, 0.9 }, std::nullopt, request()).has_value());
}
