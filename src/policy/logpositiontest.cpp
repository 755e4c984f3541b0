#include "mulberryplank/policy/logposition.h"

#include "mulberryplank/policy/snapshotparts.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(SnapshotSchedule)
{
    const Instant m_start = Instant() + Seconds(1'000);
    SnapshotSchedule m_schedule { { Seconds(600), Seconds(5) } };

    bool isDue(Offset applied, Offset first, std::size_t rank, Seconds later) const
    {
        return m_schedule.isDue(applied, { first, applied, {} }, rank, m_start + later);
    }
};

TEST(SnapshotSchedule, firstSnapshotIsDueAtOnce)
{
    CHECK_TRUE(isDue(1, 0, 0, Seconds(0)));
    CHECK_FALSE(isDue(0, 0, 0, Seconds(0)));
}

// The log expires records by age, including snapshots, even if there are no edits for hours. A proxy that starts then
// would find an empty log and assume an empty table.
TEST(SnapshotSchedule, snapshotIsRenewedEvenWithoutEdits)
{
    m_schedule.seen(100, 7, m_start);
    m_schedule.seen(100, 7, m_start + Seconds(300));
    CHECK_FALSE(isDue(100, 0, 0, Seconds(599)));
    CHECK_TRUE(isDue(100, 0, 0, Seconds(600)));
}

TEST(SnapshotSchedule, nearExpiryDoesNotWaitForTheInterval)
{
    m_schedule.seen(100, 7, m_start);
    CHECK_FALSE(isDue(190, 0, 0, Seconds(1)));
    CHECK_TRUE(isDue(210, 0, 0, Seconds(1)));
}

TEST(SnapshotSchedule, otherPublishersWaitForTheFirst)
{
    m_schedule.seen(100, 7, m_start);
    CHECK_FALSE(isDue(100, 0, 2, Seconds(609)));
    CHECK_TRUE(isDue(100, 0, 2, Seconds(610)));
    m_schedule.seen(100, 8, m_start + Seconds(602));
    CHECK_FALSE(isDue(100, 0, 2, Seconds(610)));
}

TEST(SnapshotSchedule, proxyThatIsBehindTheNewestSnapshotPublishesNone)
{
    m_schedule.seen(100, 7, m_start);
    CHECK_FALSE(isDue(99, 0, 0, Seconds(6'000)));
}

TEST_GROUP(SnapshotParts) {};

// Two proxies publish at once, and one of them stops half way. Combining parts by their order alone would produce a
// mixture of both snapshots.
TEST(SnapshotParts, newestCompleteSnapshotIsFoundAmongMixedParts)
{
    const std::string older(1'500'000, 'o');
    const std::string newer(1'200'000, 'n');
    const auto olderParts = splitSnapshot(5, older);
    const auto newerParts = splitSnapshot(6, newer);
    SnapshotAssembler assembler;
    assembler.add(newerParts[0]);
    assembler.add(olderParts[1]);
    assembler.add("damaged");
    assembler.add(olderParts[2]);
    CHECK_FALSE(assembler.newest().has_value());
    assembler.add(olderParts[0]);
    LONGS_EQUAL(5, assembler.newest()->next);
    CHECK_TRUE(assembler.newest()->bytes == older);
    for (const std::string &part : newerParts) {
        CHECK_TRUE(part.size() <= MaxRecordSize);
        assembler.add(part);
    }
    LONGS_EQUAL(6, assembler.newest()->next);
}
