#include "mulberryplank/policy/membership.h"

#include <set>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "../../tests/virtualfleet.h"
#include "mulberryplank/policy/limitholders.h"

using namespace mulberryplank;

namespace
{

constexpr Seconds SettleTime { 30 };
constexpr Seconds DetectionLimit { 15 }; // until all processes of a small fleet have declared a member dead

bool isSuspicionEvent(Event event)
{
    return event == Event::MemberSuspected || event == Event::MemberDead;
}

// Returns whether all running processes list each other as alive or leaving.
bool allSeeEachOtherAlive(VirtualFleet &fleet)
{
    std::size_t running = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        running += fleet.node(i).membership ? 1 : 0;
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.node(i).membership && fleet.countSeeingAlive(i) + 1 != running) {
            return false;
        }
    }
    return true;
}

// Injects one random fault with its after-effects.
void injectFault(VirtualFleet &fleet, std::set<std::pair<std::size_t, std::size_t>> &blockedLinks)
{
    const auto index = *rc::gen::inRange<std::size_t>(0, fleet.size());
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        fleet.start(index);
        break;
    case 1:
        fleet.kill(index);
        break;
    case 2:
        fleet.pause(index, Millis(*rc::gen::inRange(100, 30'000)));
        break;
    case 3: // blocks one direction of a link
        blockedLinks.insert({ index, *rc::gen::inRange<std::size_t>(0, fleet.size()) });
        break;
    case 4: // blocks all inbound links of a process
        for (std::size_t from = 0; from < fleet.size(); ++from) {
            blockedLinks.insert({ from, index });
        }
        break;
    default: // partitions the fleet in two
        for (std::size_t from = 0; from < index; ++from) {
            for (std::size_t to = index; to < fleet.size(); ++to) {
                blockedLinks.insert({ from, to });
                blockedLinks.insert({ to, from });
            }
        }
    }
    fleet.run(Millis(*rc::gen::inRange(10, 20'000)));
}

} // namespace

TEST_GROUP(Membership) {};

// Guards against a healthy proxy that stays out of service for good, and against a restarted one that is mistaken for
// its predecessor.
TEST(Membership, membersAgreeAfterRandomFaultsAndDeadMembersStayDead)
{
    CHECK_TRUE(rc::check("members agree in the end", [] {
        VirtualFleet fleet(*rc::gen::inRange<std::size_t>(2, 10), {}, *rc::gen::arbitrary<std::uint64_t>());
        std::set<std::pair<std::size_t, std::size_t>> blockedLinks;
        fleet.blocked = [&blockedLinks](std::size_t from, std::size_t to) {
            return blockedLinks.count({ from, to }) != 0;
        };
        fleet.loss = *rc::gen::element(0.0, 0.05, 0.3);
        fleet.startAll();
        fleet.run(Seconds(5));
        const int faults = *rc::gen::inRange(0, 8);
        for (int i = 0; i < faults; ++i) {
            injectFault(fleet, blockedLinks);
        }
        blockedLinks.clear();
        fleet.loss = 0;
        fleet.start(0); // a seed, so that a process that hasn't joined yet can
        fleet.run(Seconds(30) + SettleTime);
        RC_ASSERT(allSeeEachOtherAlive(fleet));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            for (const Member &member :
                 fleet.node(i).membership ? fleet.node(i).membership->members() : std::vector<Member> {}) {
                const auto owner = static_cast<std::size_t>(member.peer.port - 1'000);
                const bool present =
                    fleet.node(owner).membership && fleet.node(owner).self.incarnation == member.incarnation;
                RC_ASSERT(present == (member.status != MemberStatus::Dead));
            }
        }
    }));
}

TEST(Membership, deadMemberIsDetectedByAllWithinTheLimit)
{
    CHECK_TRUE(rc::check("detected in time", [] {
        VirtualFleet fleet(*rc::gen::inRange<std::size_t>(3, 24), {}, *rc::gen::arbitrary<std::uint64_t>());
        fleet.loss = *rc::gen::element(0.0, 0.05);
        fleet.startAll();
        fleet.run(SettleTime);
        const auto killed = *rc::gen::inRange<std::size_t>(0, fleet.size());
        fleet.kill(killed);
        fleet.run(DetectionLimit);
        RC_ASSERT(fleet.countSeeingAlive(killed) == 0U);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (i != killed) {
                RC_ASSERT(fleet.statusOf(killed, i) == MemberStatus::Dead);
            }
        }
    }));
}

// Guards against a replaced proxy whose death goes undetected, in a large fleet for up to an hour.
TEST(Membership, deathOfALateJoinerIsDetected)
{
    VirtualFleet fleet(200, {}, 1);
    fleet.startAll();
    fleet.introduceAll();
    fleet.run(Seconds(5));
    fleet.start(7);
    fleet.run(Seconds(5));
    LONGS_EQUAL(199, fleet.countSeeingAlive(7));
    fleet.kill(7);
    fleet.run(DetectionLimit);
    LONGS_EQUAL(0, fleet.countSeeingAlive(7));
}

// Guards against healthy proxies that are repeatedly taken out of service on a network that loses some datagrams.
TEST(Membership, noMemberIsSuspectedInAnHourAtFivePercentLoss)
{
    VirtualFleet fleet(32, {}, 1);
    std::size_t suspicionEvents = 0;
    fleet.startAll();
    fleet.run(SettleTime);
    fleet.loss = 0.05;
    fleet.onEvent = [&](std::size_t, const MembershipEvent &event) {
        suspicionEvents += isSuspicionEvent(event.event) ? 1 : 0;
    };
    fleet.run(std::chrono::hours(1));
    LONGS_EQUAL(0, suspicionEvents);
}

// Guards against taking a proxy out of service because two proxies can't communicate, while all others reach it.
TEST(Membership, oneWayCutBetweenTwoMembersIsReportedWithoutSuspicion)
{
    VirtualFleet fleet(16, {}, 2);
    fleet.startAll();
    fleet.run(SettleTime);
    std::set<std::string> reports;
    std::size_t suspicionEvents = 0;
    fleet.onEvent = [&](std::size_t node, const MembershipEvent &event) {
        suspicionEvents += isSuspicionEvent(event.event) ? 1 : 0;
        if (event.event == Event::MemberOneWay) {
            reports.insert(std::to_string(node) + " on " + event.member.vm.value() + ": " + event.detail);
        }
    };
    fleet.blocked = [](std::size_t from, std::size_t to) {
        return from == 3 && to == 5;
    };
    fleet.run(std::chrono::minutes(2));
    LONGS_EQUAL(0, suspicionEvents);
    CHECK_TRUE((reports
                == std::set<std::string> { "3 on vm-5: messages from this process don't reach it",
                                           "5 on vm-3: its messages don't reach this process" }));
}

// Guards against a proxy that was declared dead during a pause and stays out of service after it resumed.
TEST(Membership, resumedProcessIsAliveAgainWithinSeconds)
{
    VirtualFleet fleet(16, {}, 3);
    fleet.maxQueuedMessages = 0;
    fleet.startAll();
    fleet.run(SettleTime);
    for (std::size_t index = 1; index < 8; ++index) {
        fleet.pause(index, Seconds(20));
        fleet.run(Seconds(20));
        LONGS_EQUAL(0, fleet.countSeeingAlive(index));
        fleet.run(Millis(1'500));
        LONGS_EQUAL(15, fleet.countSeeingAlive(index));
    }
}

// Guards against a proxy on a VM with too little CPU time that repeatedly suspects other members.
TEST(Membership, pausedProcessSuspectsNoMember)
{
    VirtualFleet fleet(16, {}, 3);
    fleet.startAll();
    fleet.run(SettleTime);
    std::set<std::string> suspected;
    fleet.onEvent = [&](std::size_t node, const MembershipEvent &event) {
        if (node == 4 && isSuspicionEvent(event.event) && event.member.vm != VmName("vm-4")) {
            suspected.insert(event.member.vm.value());
        }
    };
    for (int i = 0; i < 50; ++i) {
        // Right after it sent something, usually a probe.
        const std::uint64_t sent = fleet.node(4).messagesSent;
        while (fleet.node(4).messagesSent == sent) {
            fleet.run(Millis(1));
        }
        fleet.pause(4, Millis(1'500));
        fleet.run(Seconds(3));
    }
    LONGS_EQUAL(0, suspected.size());
}

// Guards against a proxy that resumes and declares a member dead that refuted the suspicion long ago.
TEST(Membership, suspicionDoesNotExpireDuringAPause)
{
    VirtualFleet fleet(16, {}, 3);
    fleet.startAll();
    fleet.run(SettleTime);
    bool cut = true;
    fleet.blocked = [&cut](std::size_t from, std::size_t to) {
        return cut && (from == 9 || to == 9);
    };
    while (fleet.statusOf(9, 4) == MemberStatus::Alive) {
        fleet.run(Millis(50));
    }
    fleet.run(Millis(200));
    cut = false;
    fleet.pause(4, Seconds(10));
    std::size_t deaths = 0;
    fleet.onEvent = [&](std::size_t, const MembershipEvent &event) {
        deaths += event.event == Event::MemberDead && event.member.vm == VmName("vm-9") ? 1 : 0;
    };
    fleet.run(Seconds(20));
    LONGS_EQUAL(0, deaths);
}

// Guards against proxies of two regions that never list each other again after the regions were disconnected.
TEST(Membership, partitionsMergeAgainWithoutSeeds)
{
    VirtualFleet fleet(16, {}, 3);
    fleet.startAll();
    fleet.run(SettleTime);
    fleet.kill(0);
    fleet.kill(8);
    bool cut = true;
    fleet.blocked = [&cut](std::size_t from, std::size_t to) {
        return cut && from / 8 != to / 8;
    };
    fleet.run(std::chrono::minutes(5));
    LONGS_EQUAL(6, fleet.countSeeingAlive(3));
    cut = false;
    fleet.run(SettleTime);
    CHECK_TRUE(allSeeEachOtherAlive(fleet));
}

// Guards against callers that are sent to a replaced VM's address under the incarnation that has ended.
TEST(Membership, replacedIncarnationIsDeadSoonAfterRestartAtItsAddress)
{
    VirtualFleet fleet(16, {}, 3);
    fleet.startAll();
    fleet.run(SettleTime);
    const Incarnation former = fleet.node(5).self.incarnation;
    fleet.start(5);
    fleet.run(Millis(2'500));
    LONGS_EQUAL(15, fleet.countSeeingAlive(5));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (const Member &member : fleet.node(i).membership->members()) {
            CHECK_TRUE(member.incarnation != former || member.status == MemberStatus::Dead);
        }
    }
}

// Guards against a proxy whose inbound link recovers and that reports the whole fleet dead, or stays out of service
// itself.
TEST(Membership, memberWithoutInboundLinkIsDetectedSuspectsNoneAndRecoversWithinSeconds)
{
    VirtualFleet fleet(16, {}, 4);
    fleet.startAll();
    fleet.run(SettleTime);
    std::size_t isolated = 0;
    std::set<std::string> suspected;
    fleet.onEvent = [&](std::size_t node, const MembershipEvent &event) {
        if (node != isolated && isSuspicionEvent(event.event)) {
            suspected.insert(event.member.vm.value());
        }
    };
    for (std::size_t index = 1; index < 8; ++index) {
        isolated = index;
        fleet.blocked = [&isolated](std::size_t, std::size_t to) {
            return to == isolated;
        };
        fleet.run(Seconds(20));
        LONGS_EQUAL(0, fleet.countSeeingAlive(index));
        fleet.blocked = {};
        fleet.run(Millis(1'500));
        CHECK_TRUE(allSeeEachOtherAlive(fleet));
    }
    LONGS_EQUAL(7, suspected.size());
}

TEST(Membership, leavingReachesAllWithoutSuspicionAndItsEndIsNoDeath)
{
    VirtualFleet fleet(16, {}, 5);
    fleet.startAll();
    fleet.run(SettleTime);
    std::size_t deaths = 0;
    std::size_t departures = 0;
    fleet.onEvent = [&](std::size_t, const MembershipEvent &event) {
        deaths += event.event == Event::MemberDead ? 1 : 0;
        departures += event.event == Event::MemberLeft ? 1 : 0;
    };
    fleet.node(7).membership->leave(fleet.now());
    fleet.run(Seconds(3));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK_TRUE(fleet.statusOf(7, i) == MemberStatus::Leaving);
    }
    fleet.kill(7);
    fleet.run(DetectionLimit);
    LONGS_EQUAL(0, deaths);
    LONGS_EQUAL(15, departures);
}

TEST(Membership, appliedOffsetAndReadinessReachAll)
{
    VirtualFleet fleet(16, {}, 6);
    fleet.startAll();
    fleet.run(SettleTime);
    fleet.node(8).membership->updateSelf(77, false);
    fleet.run(Seconds(3));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (const Member &member : fleet.node(i).membership->members()) {
            CHECK_TRUE(member.vm != VmName("vm-8") || (member.applied == 77 && !member.ready));
        }
    }
}

TEST(Membership, messagesStayWithinTheirBudget)
{
    VirtualFleet fleet(64, {}, 7);
    std::size_t largest = 0;
    fleet.sizeOf = [&largest](const MembershipMessage &message) {
        std::size_t size = 0;
        for (const MemberUpdate &update : message.updates) {
            size += encodedSizeBound(update);
        }
        largest = std::max(largest, size);
        return size;
    };
    fleet.startAll();
    fleet.run(SettleTime);
    CHECK_TRUE(largest > 0);
    CHECK_TRUE(largest <= MembershipSettings {}.updateBudget + encodedSizeBound({}));
}

// Guards against gateways that know only a few members for seconds after a total power loss while the seeds' links are
// full.
TEST(Membership, fleetThatStartsAtOnceKnowsNearlyAllWithinSeconds)
{
    constexpr std::size_t Processes = 450;
    VirtualFleet fleet(Processes, {}, 8);
    fleet.startAll();
    fleet.run(Seconds(3));
    std::size_t known = 0;
    for (std::size_t i = 0; i < Processes; ++i) {
        known += fleet.node(i).membership->members().size();
    }
    CHECK_TRUE(known > Processes * Processes * 95 / 100);
}

TEST(Membership, requestersGetAPartOfTheListWhenManyRequestAtOnce)
{
    constexpr std::size_t Processes = 100;
    MembershipSettings settings;
    settings.descriptionsPerSecond = 100;
    settings.descriptionBurst = 150;
    VirtualFleet fleet(Processes, settings, 9);
    fleet.startAll();
    fleet.introduceAll();
    Membership &contacted = *fleet.node(0).membership;
    const Instant now = fleet.now();
    CHECK_EQUAL(Processes, contacted.respondToExchange({}, now).updates.size());
    const MemberExchange second = contacted.respondToExchange({}, now);
    CHECK_EQUAL(Processes, second.liveCount);
    CHECK_EQUAL(50, second.updates.size());
    CHECK_EQUAL(settings.minDescriptions, contacted.respondToExchange({}, now).updates.size());
    CHECK_EQUAL(100, contacted.respondToExchange({}, now + Millis(1'200)).updates.size());
}

TEST(Membership, preferredSeedsAreQueriedFirstAndNoneTwiceAtOnce)
{
    MembershipSettings settings;
    settings.seeds = { { "10.0.0.1", 1 }, { "10.0.0.2", 1 }, { "10.0.0.3", 1 } };
    settings.preferredSeeds = 2;
    Member self;
    self.incarnation = 1;
    Membership membership(self, settings, 1);
    Instant now { Seconds(100) };
    std::vector<Endpoint> contacted;
    for (int i = 0; i < 4; ++i) {
        const std::optional<Endpoint> seed = membership.seedQueryDue(now);
        if (seed) {
            contacted.push_back(*seed);
        }
        now += settings.joinRetryInterval;
    }
    CHECK_EQUAL(3, contacted.size());
    CHECK_TRUE(contacted[0] != settings.seeds[2] && contacted[1] != settings.seeds[2] && contacted[0] != contacted[1]);
    CHECK_TRUE(contacted[2] == settings.seeds[2]);
}

// Guards against a fleet that comes back from a power loss as one fleet for each failure domain.
TEST(Membership, otherSeedsAreQueriedWhileAPreferredOneDoesNotRespond)
{
    const Endpoint gone { "10.0.0.1", 1 };
    const Endpoint elsewhere { "10.0.0.2", 1 };
    MembershipSettings settings;
    settings.seeds = { gone, elsewhere };
    settings.preferredSeeds = 1;
    Member self;
    self.incarnation = 1;
    Membership membership(self, settings, 1);
    MemberUpdate other;
    other.incarnation = 2;
    other.description = std::make_shared<const MemberDescription>();
    Instant now { Seconds(100) };
    membership.mergeExchange({ { other }, 2 }, now);
    std::set<Endpoint> queried;
    for (const Instant end = now + settings.seedRetryInterval; now < end; now += Millis(100)) {
        queried.insert(membership.seedQueryDue(now).value_or(gone));
    }
    CHECK_TRUE(queried.contains(elsewhere));
}

// Guards against an account that gets its limit once from each part of a fleet that a power loss has split.
TEST(Membership, fleetThatReturnsWithoutMostOfItsSeedsIsOneFleetWithinTheJoinTime)
{
    constexpr std::size_t Domains = 6; // of VirtualFleet
    constexpr std::size_t Processes = 24;
    constexpr std::size_t Lost = 2 * Domains;
    CHECK_TRUE(rc::check("one fleet", [] {
        VirtualFleet fleet(Processes, {}, *rc::gen::arbitrary<std::uint64_t>());
        for (std::size_t i = Lost; i < Processes; ++i) {
            fleet.start(i);
            std::vector<Endpoint> seeds;
            for (std::size_t seed = 0; seed < Lost + Domains; ++seed) {
                const bool sameDomain = seed % Domains == i % Domains;
                if (seed != i) {
                    seeds.insert(sameDomain ? seeds.begin() : seeds.end(), fleet.endpoint(seed));
                }
            }
            const std::size_t sameDomain = i < Lost + Domains ? 2 : 3;
            fleet.node(i).membership->setSeeds(std::move(seeds), sameDomain);
        }
        fleet.run(LimitHolderSettings {}.joinTime);
        RC_ASSERT(allSeeEachOtherAlive(fleet));
    }));
}

// Guards against gateways whose own messages are most of the traffic on their links for ten seconds after a total power
// loss.
TEST(Membership, fleetThatStartsAtOnceSendsFewBytes)
{
    constexpr std::size_t Processes = 450;
    constexpr std::size_t Envelope = 150; // bytes of a message besides its updates
    constexpr std::size_t MaxBytes = 10 * 7'000; // in ten seconds, at 7 KB per second for all control traffic
    VirtualFleet fleet(Processes, {}, 8);
    fleet.sizeOf = [](const MembershipMessage &message) {
        std::size_t size = Envelope;
        for (const MemberUpdate &update : message.updates) {
            size += encodedSizeBound(update);
        }
        return size;
    };
    fleet.startAll();
    fleet.run(Seconds(10));
    std::size_t sent = 0;
    for (std::size_t i = 0; i < Processes; ++i) {
        sent += fleet.node(i).bytesSent;
    }
    CHECK_TRUE(sent / Processes < MaxBytes);
}
