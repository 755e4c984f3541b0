#include "mulberryplank/net/reportbatch.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr Duration MaxDelay = Millis(40);

AttemptReport reportOf(AttemptResult result, TargetKey target = 1)
{
    AttemptReport report;
    report.target = target;
    report.result = result;
    return report;
}

} // namespace

TEST_GROUP(ReportBatch) {};

TEST(ReportBatch, noResponseReportsAndTheirWithdrawalAreDelayed)
{
    ReportBatch batch(MaxDelay);
    CHECK_FALSE(batch.due().has_value());
    CHECK_EQUAL(0, batch.add(reportOf(AttemptResult::Timeout), Start).size());
    CHECK_EQUAL(0, batch.add(reportOf(AttemptResult::Success), Start + Millis(10)).size());
    CHECK_TRUE(batch.due() == Start + MaxDelay);
    CHECK_EQUAL(2, batch.take().size());
    CHECK_FALSE(batch.due().has_value());
}

// Failure: two gateways lose a request to a target in the same moment.
TEST(ReportBatch, failureIsSentAtOnceWithAllPendingReports)
{
    for (const AttemptResult result :
         { AttemptResult::Reset, AttemptResult::ServerError, AttemptResult::Mismatched, AttemptResult::Cancelled }) {
        ReportBatch batch(MaxDelay);
        batch.add(reportOf(AttemptResult::Timeout, 1), Start);
        const std::vector<AttemptReport> now = batch.add(reportOf(result, 2), Start);
        CHECK_EQUAL(2, now.size());
        CHECK_EQUAL(1, now.front().target);
        CHECK_FALSE(batch.due().has_value());
    }
}

TEST(ReportBatch, reportAddedWhenTheBatchIsDueIsSentWithIt)
{
    ReportBatch batch(MaxDelay);
    batch.add(reportOf(AttemptResult::Timeout), Start);
    CHECK_EQUAL(2, batch.add(reportOf(AttemptResult::Timeout), Start + MaxDelay).size());
}
