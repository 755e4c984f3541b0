#include "mulberryplank/policy/crashattribution.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr RequestFingerprint Deadly { 1 };
constexpr RequestFingerprint Innocent { 2 };
constexpr RequestFingerprint OtherDeadly { 3 };

// Crashes that a test reports one after another, one each second.
class Crashes
{
public:
    // Reports a crash, of a target of its own, with attempts sent 80 ms before. Returns the blamed requests.
    std::vector<RequestFingerprint> crash(const std::vector<RequestFingerprint> &requests)
    {
        m_now += Seconds(1);
        return report(++m_target, requests, m_now);
    }

    std::vector<RequestFingerprint> report(TargetKey target,
                                           const std::vector<RequestFingerprint> &requests,
                                           Instant at)
    {
        CrashReport report;
        report.target = target;
        for (const RequestFingerprint request : requests) {
            report.suspects.push_back({ request, Millis(80) });
        }
        return attribution.addCrash(report, at);
    }

    CrashAttribution attribution;

private:
    Instant m_now = Start;
    TargetKey m_target = 0;
};

bool isOnly(const std::vector<RequestFingerprint> &requests, RequestFingerprint request)
{
    return requests == std::vector { request };
}

} // namespace

TEST_GROUP(CrashAttribution) {};

TEST(CrashAttribution, RequestIsBlamedAtItsThirdCrash)
{
    Crashes crashes;
    CHECK_TRUE(crashes.crash({ Deadly }).empty());
    CHECK_TRUE(crashes.crash({ Deadly }).empty());
    CHECK_TRUE(isOnly(crashes.crash({ Deadly }), Deadly));
}

TEST(CrashAttribution, RequestsBesideTheCulpritAreNotBlamed)
{
    Crashes crashes;
    crashes.crash({ Deadly, Innocent });
    crashes.crash({ Deadly, RequestFingerprint { 10 } });
    CHECK_TRUE(isOnly(crashes.crash({ Innocent, Deadly }), Deadly));
    CHECK_TRUE(crashes.crash({ Innocent }).empty());
    CHECK_TRUE(crashes.crash({ Innocent }).empty());
}

TEST(CrashAttribution, NeitherOfTwoRequestsThatCanNotBeToldApartIsBlamed)
{
    Crashes crashes;
    for (int count = 0; count < 5; ++count) {
        CHECK_TRUE(crashes.crash({ Deadly, Innocent }).empty());
    }
    CHECK_TRUE(isOnly(crashes.crash({ Deadly }), Deadly));
    CHECK_TRUE(crashes.crash({ Innocent }).empty());
}

TEST(CrashAttribution, SuccessTellsTwoRequestsApart)
{
    Crashes crashes;
    for (int count = 0; count < 3; ++count) {
        crashes.crash({ Deadly, Innocent });
    }
    CHECK_TRUE(crashes.attribution.recordSuccess(Innocent));
    CHECK_TRUE(isOnly(crashes.crash({ Deadly, Innocent }), Deadly));
}

TEST(CrashAttribution, TwoDeadlyRequestsAreBothBlamed)
{
    Crashes crashes;
    crashes.crash({ Deadly });
    crashes.crash({ OtherDeadly });
    crashes.crash({ Deadly, OtherDeadly });
    CHECK_TRUE(isOnly(crashes.crash({ Deadly }), Deadly));
    crashes.crash({ OtherDeadly });
    CHECK_TRUE(isOnly(crashes.crash({ OtherDeadly }), OtherDeadly));
}

// Guards against blaming a popular request for targets that lose power at the same time.
TEST(CrashAttribution, CrashesAtTheSameTimeCountAsOne)
{
    Crashes crashes;
    for (TargetKey target = 0; target < 20; ++target) {
        CHECK_TRUE(crashes.report(target, { Innocent }, Start + Millis(target)).empty());
    }
}

// Guards against retries right after a crash that don't count, because other processes report rounded times.
TEST(CrashAttribution, AttemptsThatFollowEachOtherAtOnceCountSeparately)
{
    Crashes crashes;
    crashes.report(1, { Deadly }, Start);
    crashes.report(2, { Deadly }, Start + Millis(78)); // sent 80 ms before
    CHECK_TRUE(isOnly(crashes.report(3, { Deadly }, Start + Millis(156)), Deadly));
}

TEST(CrashAttribution, RequestThatHasSucceededIsNoSuspect)
{
    Crashes crashes;
    CHECK_FALSE(crashes.attribution.recordSuccess(Innocent));
    for (int count = 0; count < 10; ++count) {
        CHECK_TRUE(crashes.crash({ Innocent }).empty());
    }
}

// Guards against blaming a popular request that fails with errors, for crashes beside it.
TEST(CrashAttribution, RequestWhoseTargetsRespondWithErrorsIsNotBlamed)
{
    Crashes crashes;
    for (int count = 0; count < 10; ++count) {
        CHECK_TRUE(crashes.crash({ Innocent }).empty());
        crashes.attribution.recordError(Innocent);
        CHECK_TRUE(crashes.attribution.recordError(Innocent));
    }
    CHECK_FALSE(crashes.attribution.hasSucceeded(Innocent));
}

TEST(CrashAttribution, SingleErrorDoesNotClearARequest)
{
    Crashes crashes;
    CHECK_FALSE(crashes.attribution.recordError(Deadly));
    crashes.crash({ Deadly });
    CHECK_FALSE(crashes.attribution.recordError(Deadly));
    crashes.crash({ Deadly });
    CHECK_FALSE(crashes.attribution.recordError(Deadly));
    CHECK_TRUE(isOnly(crashes.crash({ Deadly }), Deadly));
}

TEST(CrashAttribution, ReportsOfSeveralProcessesOnACrashCountOnce)
{
    Crashes crashes;
    for (int count = 0; count < 5; ++count) {
        CHECK_TRUE(crashes.report(7, { Deadly }, Start + Millis(count)).empty());
    }
}

TEST(CrashAttribution, TargetThatRestartsUnderItsNameCrashesAgain)
{
    Crashes crashes;
    crashes.report(7, { Deadly }, Start);
    crashes.report(7, { Deadly }, Start + Seconds(5));
    CHECK_TRUE(isOnly(crashes.report(7, { Deadly }, Start + Seconds(10)), Deadly));
}

// Guards against blaming requests beside the culprit by a report that arrives after the culprit was blamed.
TEST(CrashAttribution, LateReportOnAnExplainedCrashIsNoEvidence)
{
    Crashes crashes;
    for (TargetKey target = 1; target <= 3; ++target) {
        crashes.report(target, { Deadly }, Start + Seconds(target));
    }
    for (TargetKey target = 1; target <= 3; ++target) {
        CHECK_TRUE(crashes.report(target, { Innocent }, Start + Seconds(target) + Millis(50)).empty());
    }
}

TEST(CrashAttribution, CrashOfABlamedRequestIsNoEvidenceAgainstOthers)
{
    Crashes crashes;
    for (TargetKey target = 1; target <= 3; ++target) {
        CrashReport report;
        report.target = target;
        crashes.attribution.addExplainedCrash(report, Start + Seconds(target));
        CHECK_TRUE(crashes.report(target, { Innocent }, Start + Seconds(target) + Millis(50)).empty());
    }
}

TEST(CrashAttribution, OldCrashesAreNoEvidence)
{
    Crashes crashes;
    crashes.report(1, { Deadly }, Start);
    crashes.report(2, { Deadly }, Start + Seconds(300));
    CHECK_TRUE(crashes.report(3, { Deadly }, Start + Seconds(601)).empty());
    CHECK_TRUE(isOnly(crashes.report(4, { Deadly }, Start + Seconds(700)), Deadly));
}

// Guards against memory that grows while many targets crash.
TEST(CrashAttribution, OldestCrashesAreDroppedBeyondTheMaximum)
{
    Crashes crashes;
    crashes.report(1, { Deadly }, Start);
    crashes.report(2, { Deadly }, Start + Millis(100));
    for (TargetKey target = 10; target < 200; ++target) {
        crashes.report(target, { RequestFingerprint { target } }, Start + Millis(100 + target));
    }
    CHECK_TRUE(crashes.report(3, { Deadly }, Start + Seconds(1)).empty());
}
