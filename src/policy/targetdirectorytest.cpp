#include "mulberryplank/policy/targetdirectory.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr Duration Grace = Seconds(2);

AnnouncedTarget target(const std::string &id, std::uint64_t sequence, bool draining = false)
{
    AnnouncedTarget result;
    result.id = TargetName(id);
    result.service = ServiceName("pressdesk");
    result.endpoint = { "10.0.0.1", 80 };
    result.sequence = sequence;
    result.draining = draining;
    return result;
}

bool lists(const TargetDirectory &directory, const std::string &id)
{
    return directory.targets().contains(TargetName(id));
}

} // namespace

TEST_GROUP(TargetDirectory) {};

TEST(TargetDirectory, heartbeatDoesNotChangeTheState)
{
    TargetDirectory directory(Grace);
    CHECK_TRUE(directory.announce(target("a", 1), Start));
    CHECK_FALSE(directory.announce(target("a", 2), Start + Seconds(1)));
    CHECK_TRUE(directory.announce(target("a", 3, true), Start + Seconds(2)));
}

TEST(TargetDirectory, removalTakesEffectAtOnceWithoutAStoreOutage)
{
    TargetDirectory directory(Grace);
    directory.announce(target("a", 1), Start);
    CHECK_TRUE(directory.remove(TargetName("a"), Start));
    CHECK_FALSE(lists(directory, "a"));
}

// Guards against all targets being unlisted, and every request rejected, for a moment after an outage of the store.
TEST(TargetDirectory, entriesThatExpiredInAnOutageAreKeptForTheGracePeriod)
{
    TargetDirectory directory(Grace);
    directory.announce(target("lives", 1), Start);
    directory.announce(target("gone", 1), Start);
    const Instant returned = Start + Seconds(10);
    directory.storeReturned(returned);
    CHECK_FALSE(directory.remove(TargetName("lives"), returned));
    CHECK_FALSE(directory.remove(TargetName("gone"), returned));
    CHECK_FALSE(directory.expire(returned + Seconds(1)));
    directory.announce(target("lives", 2), returned + Seconds(1));
    CHECK_TRUE(directory.expire(returned + Grace));
    CHECK_TRUE(lists(directory, "lives"));
    CHECK_FALSE(lists(directory, "gone"));
}

TEST(TargetDirectory, drainingTargetIsNotKeptForTheGracePeriod)
{
    TargetDirectory directory(Grace);
    directory.announce(target("a", 1, true), Start);
    directory.storeReturned(Start);
    CHECK_TRUE(directory.remove(TargetName("a"), Start));
}

// Guards against a request reaching a target seconds after it announced that it drains.
TEST(TargetDirectory, olderRecordDoesNotUndoDraining)
{
    TargetDirectory directory(Grace);
    directory.announce(target("a", 5, true), Start);
    directory.announce(target("a", 4, false), Start);
    CHECK_TRUE(directory.targets().at(TargetName("a")).target.draining);
}

TEST(TargetDirectory, completeListRemovesMissingTargets)
{
    TargetDirectory directory(Grace);
    directory.announce(target("a", 1), Start);
    CHECK_TRUE(directory.replaceAll({ target("b", 1) }, Start));
    CHECK_FALSE(lists(directory, "a"));
    CHECK_TRUE(lists(directory, "b"));
    CHECK_FALSE(directory.replaceAll({ target("b", 2) }, Start));
}

// Guards against a restarted target getting no requests, and against an old record restoring its earlier start.
TEST(TargetDirectory, restartUnderTheSameIdReplacesTheEarlierStart)
{
    TargetDirectory directory(Grace);
    AnnouncedTarget earlier = target("a", 90, true);
    earlier.startedMillis = 1'000;
    AnnouncedTarget later = target("a", 1);
    later.startedMillis = 2'000;
    directory.announce(earlier, Start);
    CHECK_TRUE(directory.announce(later, Start));
    CHECK_FALSE(directory.targets().at(TargetName("a")).target.draining);
    CHECK_FALSE(directory.announce(earlier, Start));
    CHECK_FALSE(directory.targets().at(TargetName("a")).target.draining);
    CHECK_EQUAL(1, directory.targets().at(TargetName("a")).target.sequence);
}

TEST(TargetDirectory, drainingTargetNeverTakesWorkAgainInAnyOrderOfRecords)
{
    CHECK_TRUE(rc::check("draining is final", [] {
        TargetDirectory directory(Grace);
        bool drained = false;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            const Instant now = Start + Millis(100) * step;
            const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 50);
            const bool draining = *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                directory.storeReturned(now);
                break;
            case 1:
                directory.expire(now);
                break;
            default:
                directory.announce(target("a", sequence, draining), now);
                break;
            }
            const auto listed = directory.targets().find(TargetName("a"));
            if (listed != directory.targets().end()) {
                RC_ASSERT(!drained || listed->second.target.draining);
                drained = drained || listed->second.target.draining;
            }
        }
    }));
}

// Guards against each change of one target costing every process a transfer of the whole list.
TEST(TargetDirectory, changesAreReportedIndividually)
{
    TargetDirectory directory(Seconds(2));
    directory.announce(target("i-1", 1), Start);
    directory.announce(target("i-2", 1), Start);
    const std::uint64_t before = directory.changes();
    directory.announce(target("i-2", 2), Start); // a heartbeat
    CHECK_EQUAL(before, directory.changes());
    AnnouncedTarget draining = target("i-1", 2);
    draining.draining = true;
    directory.announce(draining, Start);
    directory.remove(TargetName("i-2"), Start);
    directory.announce(target("i-3", 1), Start);
    const std::optional<std::set<TargetName>> changed = directory.changedSince(before);
    CHECK_TRUE(changed.has_value());
    CHECK_TRUE((*changed == std::set<TargetName> { TargetName("i-1"), TargetName("i-2"), TargetName("i-3") }));
    CHECK_EQUAL(0, directory.changedSince(directory.changes())->size());
}

TEST(TargetDirectory, changesTooLongAgoAreUnknown)
{
    TargetDirectory directory(Seconds(2));
    for (int i = 0; i < 10'000; ++i) {
        directory.announce(target("i-" + std::to_string(i), 1), Start);
    }
    CHECK_FALSE(directory.changedSince(0).has_value());
    CHECK_FALSE(directory.changedSince(10'001).has_value());
    CHECK_EQUAL(1, directory.changedSince(9'999)->size());
}

// Guards against requests to targets that left: a store that came back from an older copy lists them again.
TEST(TargetDirectory, targetThatLeftIsNotListedAgainByAnOlderList)
{
    TargetDirectory directory(Grace);
    directory.announce(target("removed", 5), Start);
    directory.announce(target("drained", 6, true), Start);
    directory.remove(TargetName("removed"), Start);
    directory.remove(TargetName("drained"), Start);
    const Instant later = Start + Seconds(5);
    directory.storeWentBack(later);
    directory.replaceAll({ target("removed", 7), target("drained", 4) }, later);
    CHECK_TRUE(directory.targets().empty());
}

TEST(TargetDirectory, targetThatLeftIsListedAgainWhenItAnnouncesItself)
{
    TargetDirectory directory(Grace);
    directory.announce(target("a", 5), Start);
    directory.announce(target("b", 5), Start);
    directory.remove(TargetName("a"), Start);
    directory.remove(TargetName("b"), Start);
    directory.storeWentBack(Start + Seconds(5));
    AnnouncedTarget restarted = target("a", 1);
    restarted.startedMillis = 1'000;
    directory.replaceAll({ restarted }, Start + Seconds(5));
    CHECK_TRUE(lists(directory, "a"));
    directory.announce(target("b", 6), Start + Seconds(5));
    CHECK_TRUE(lists(directory, "b"));
}

TEST(TargetDirectory, listsCountAgainOnceTheStoreHasRemovedOldEntries)
{
    TargetDirectory directory(Grace);
    directory.announce(target("a", 5), Start);
    directory.remove(TargetName("a"), Start);
    directory.replaceAll({ target("a", 6) }, Start + Seconds(1)); // without a return
    CHECK_TRUE(lists(directory, "a"));
    directory.remove(TargetName("a"), Start + Seconds(2));
    directory.storeWentBack(Start + Seconds(3));
    directory.replaceAll({ target("a", 7) }, Start + Seconds(4) + TargetDirectory::OldEntriesLifetime);
    CHECK_TRUE(lists(directory, "a"));
}

// Guards against live targets that get no requests because an older list lacked them for a moment.
TEST(TargetDirectory, targetThatAnOlderListLacksIsListedAgainByTheNextOne)
{
    TargetDirectory directory(Grace);
    directory.announce(target("a", 5), Start);
    directory.storeWentBack(Start);
    directory.replaceAll({}, Start);
    directory.replaceAll({ target("a", 6) }, Start + Seconds(1));
    CHECK_TRUE(lists(directory, "a"));
}

// Guards against a target that left and stays in use for good: the list comes from a process that keeps its expired
// entry, and its removal is among the records before that list.
TEST(TargetDirectory, targetWhoseEntryExpiredElsewhereIsRemovedAfterTheGracePeriod)
{
    TargetDirectory directory(Grace);
    directory.replaceAll({ target("a", 1) }, Start, { TargetName("a") });
    CHECK_FALSE(directory.expire(Start + Seconds(1)));
    CHECK_TRUE(lists(directory, "a"));
    CHECK_TRUE(directory.expire(Start + Grace));
    CHECK_FALSE(lists(directory, "a"));
}

TEST(TargetDirectory, targetWhoseEntryExpiredElsewhereIsNotAddedToAnExistingList)
{
    TargetDirectory directory(Grace);
    directory.announce(target("b", 1), Start);
    directory.replaceAll({ target("a", 1), target("b", 2) }, Start + Seconds(1), { TargetName("a") });
    CHECK_FALSE(lists(directory, "a"));
}

TEST(TargetDirectory, targetWhoseEntryExpiredElsewhereStaysWhenItAnnouncesItself)
{
    TargetDirectory directory(Grace);
    directory.replaceAll({ target("a", 1) }, Start, { TargetName("a") });
    directory.announce(target("a", 2), Start + Seconds(1));
    CHECK_FALSE(directory.expire(Start + Grace));
    CHECK_TRUE(directory.expired().empty());
    CHECK_TRUE(lists(directory, "a"));
}

// Guards against processes that follow another one's list and don't hear that an entry in it has expired.
TEST(TargetDirectory, expiredEntryThatIsKeptCountsAsAChange)
{
    TargetDirectory directory(Grace);
    directory.announce(target("a", 1), Start);
    const std::uint64_t before = directory.changes();
    directory.storeReturned(Start);
    directory.remove(TargetName("a"), Start);
    CHECK_TRUE(directory.changedSince(before)->contains(TargetName("a")));
    CHECK_EQUAL(1, directory.expired().size());
}

// Guards against a target that left and is used again, because the difference to the list of an older copy adds it.
TEST(TargetDirectory, targetThatLeftIsNotAddedByADifferenceAfterTheStoreWentBack)
{
    TargetDirectory directory(Grace);
    directory.announce(target("a", 1), Start);
    directory.remove(TargetName("a"), Start + Seconds(1));
    directory.storeWentBack(Start + Seconds(2));
    CHECK_FALSE(directory.applyDifference({ target("a", 1) }, {}, {}, Start + Seconds(3)));
    CHECK_FALSE(lists(directory, "a"));
    CHECK_TRUE(directory.applyDifference({ target("b", 1) }, {}, {}, Start + Seconds(3)));
}
