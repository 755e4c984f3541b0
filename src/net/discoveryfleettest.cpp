#include <functional>
#include <string>

#include <CppUTest/TestHarness.h>

#include "../../tests/discoveryfleet.h"

using namespace mulberryplank;

namespace
{

constexpr Duration ConfigurationBound = Seconds(2); // from its confirmation until a configuration is in force
constexpr Duration DrainBound = Seconds(2); // from a target's leaving until it gets no further requests
constexpr Duration StableAfter = Seconds(3); // without a disturbance of the store
constexpr std::size_t Targets = 6;

// The number of seeds for each set of further faults. Sanitizers make them ten times slower, and the memory errors that
// they look for don't depend on the seed.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t SeedsOfFurtherFaults = 5;
#else
constexpr std::uint64_t SeedsOfFurtherFaults = 30;
#endif

// Faults beside those that are always drawn.
struct MoreFaults {
    bool stalledResponses = false; // of one process at a time, after their beginning
    bool silentConnections = false; // open ones to the store, while new ones work
    bool drills = false; // the store is away for a moment and comes back from an older copy
    Duration drillInterval = Seconds(6); // from the end of a drill until the next one may begin
    double drillProbability = 0.2; // of the next one's beginning in a round after that
};

// Injects random faults, drawn from a seed, into a fleet.
class FaultInjector
{
public:
    FaultInjector(DiscoveryFleet &fleet, std::uint64_t seed, const MoreFaults &more)
        : m_fleet(fleet)
        , m_more(more)
        , m_random(seed)
        , m_access(fleet.size(), StoreAccess::Served)
        , m_isDisconnected(fleet.size(), false)
    {
        for (std::size_t target = 0; target < Targets; ++target) {
            m_targets.push_back(fleet.startTarget());
        }
    }

    // Changes several conditions, each with a fixed probability.
    void next()
    {
        if (drawEvent(0.1)) {
            m_fleet.restartProcess(drawProcess());
        }
        if (drawEvent(0.3)) {
            changeAccess();
        }
        if (drawEvent(0.1)) {
            toggleConnection();
        }
        if (drawEvent(0.3) && m_drill != Drill::Away) {
            m_fleet.changeConfiguration();
        }
        if (m_more.stalledResponses && drawEvent(0.3)) {
            stallAnother();
        }
        if (m_more.silentConnections && drawEvent(0.3)) {
            silenceConnections();
        }
        if (m_more.drills) {
            continueDrill();
        }
        if (m_drill == Drill::Away) {
            return;
        }
        std::size_t &target = m_targets[drawBelow(Targets)];
        if (drawEvent(0.3)) {
            if (m_more.drills && drawEvent(0.5)) {
                m_fleet.removeTarget(target);
            } else {
                m_fleet.drainTarget(target);
            }
            target = m_fleet.startTarget();
        } else {
            m_fleet.renewTarget(target);
        }
    }

    // Returns whether the store was undisturbed at `at`, and had been for three seconds.
    bool wasStable(Instant at) const
    {
        return std::none_of(m_drills.begin(), m_drills.end(), [at](const auto &drill) {
            return at >= drill.first && at <= drill.second + StableAfter;
        });
    }

    // Returns since when operators and targets have written again what a drill lost; nothing during a drill.
    std::optional<Instant> undisturbedSince() const
    {
        return m_drill == Drill::None ? std::optional(m_drilledAt) : std::nullopt;
    }

private:
    enum class Drill {
        None,
        Away, // the store
        Back, // from an older copy; nothing has been written again
    };

    void continueDrill()
    {
        constexpr std::size_t MaxCopiesBack = 10;
        m_fleet.copyStore();
        if (m_drill == Drill::None && Clock::now() - m_drilledAt > m_more.drillInterval
            && drawEvent(m_more.drillProbability)) {
            m_drill = Drill::Away;
            m_drills.emplace_back(Clock::now(), Instant::max() - StableAfter);
            m_fleet.setAccessOfAll(StoreAccess::Refused);
        } else if (m_drill == Drill::Away) {
            m_drill = Drill::Back;
            m_fleet.returnFromCopy(drawBelow(MaxCopiesBack));
            for (std::size_t index = 0; index < m_fleet.size(); ++index) {
                m_fleet.setAccess(index, m_access[index]);
            }
        } else if (m_drill == Drill::Back) {
            m_drill = Drill::None;
            m_drilledAt = Clock::now();
            m_drills.back().second = m_drilledAt;
            m_fleet.writeAgain();
        }
    }
    bool drawEvent(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    std::size_t drawBelow(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    std::size_t drawProcess()
    {
        return drawBelow(m_fleet.size());
    }

    // Returns whether a process may be disturbed so that half of the processes or more remain served and connected.
    bool mayDisturbOne() const
    {
        std::size_t healthy = 0;
        for (std::size_t index = 0; index < m_fleet.size(); ++index) {
            healthy += m_access[index] == StoreAccess::Served && !m_isDisconnected[index] ? 1 : 0;
        }
        return healthy * 2 > m_fleet.size();
    }

    void toggleConnection()
    {
        const std::size_t index = drawProcess();
        m_isDisconnected[index] = !m_isDisconnected[index] && mayDisturbOne();
        m_fleet.setDisconnected(index, m_isDisconnected[index]);
    }

    // One process at a time.
    void stallAnother()
    {
        m_fleet.setStalled(m_stalled, false);
        m_stalled = drawProcess();
        m_fleet.setStalled(m_stalled, true);
    }

    // Silences the connections of each process with the same probability, from none to all. The users' bounds hold for
    // processes whose connections were undisturbed for three seconds, so the next silence comes no sooner.
    void silenceConnections()
    {
        constexpr Duration MinInterval = Seconds(3);
        if (Clock::now() - m_silencedAt < MinInterval) {
            return;
        }
        m_silencedAt = Clock::now();
        const double share = std::uniform_real_distribution<double>(0, 1)(m_random);
        for (std::size_t index = 0; index < m_fleet.size(); ++index) {
            if (drawEvent(share)) {
                m_fleet.silenceStoreConnections(index);
            }
        }
    }

    void changeAccess()
    {
        const std::size_t index = drawProcess();
        const StoreAccess lost = drawEvent(0.5) ? StoreAccess::Refused : StoreAccess::Unresponsive;
        m_access[index] = m_access[index] == StoreAccess::Served && mayDisturbOne() ? lost : StoreAccess::Served;
        if (m_drill != Drill::Away) {
            m_fleet.setAccess(index, m_access[index]);
        }
    }

    DiscoveryFleet &m_fleet;
    const MoreFaults m_more;
    std::size_t m_stalled = 0;
    Instant m_silencedAt {};
    Drill m_drill = Drill::None;
    Instant m_drilledAt {};
    std::vector<std::pair<Instant, Instant>> m_drills; // begin, and when all was written again
    std::mt19937_64 m_random;
    std::vector<StoreAccess> m_access;
    std::vector<bool> m_isDisconnected;
    std::vector<std::size_t> m_targets; // that aren't leaving
};

using FleetCheck = std::function<void(const DiscoveryFleet &, const char *seedName)>;

// Runs a fleet with the faults drawn from `seed`, and checks it throughout.
void checkDisturbedFleet(std::uint64_t seed, const MoreFaults &more, const FleetCheck &check)
{
    constexpr int Rounds = 40;
    constexpr int ChecksInARound = 5;
    DiscoveryFleetPlan plan;
    plan.seed = seed;
    DiscoveryFleet fleet(plan);
    FaultInjector faults(fleet, seed, more);
    fleet.changeConfiguration();
    fleet.run(Seconds(4));
    const std::string name = "seed " + std::to_string(seed);
    for (int round = 0; round < Rounds; ++round) {
        faults.next();
        for (int count = 0; count < ChecksInARound; ++count) {
            fleet.run(Millis(100));
            check(fleet, name.c_str());
        }
    }
}

void checkConfigurations(const DiscoveryFleet &fleet, const char *seedName)
{
    CHECK_EQUAL_TEXT(0, fleet.behind(ConfigurationBound), seedName);
    CHECK_FALSE_TEXT(fleet.hasRegressed(), seedName);
}

void checkTargets(const DiscoveryFleet &fleet, const char *seedName)
{
    CHECK_EQUAL_TEXT(0, fleet.sendingToLeftTargets(DrainBound), seedName);
}

void checkAll(const DiscoveryFleet &fleet, const char *seedName)
{
    checkConfigurations(fleet, seedName);
    checkTargets(fleet, seedName);
}

// Runs a fleet with the faults drawn from `seed` and drills of the store. The users' bounds hold for what is confirmed
// once the store has been undisturbed for three seconds; what a process knows binds it all the time.
void checkDrills(std::uint64_t seed, MoreFaults more = {})
{
    constexpr int Rounds = 60;
    more.drills = true;
    DiscoveryFleetPlan plan;
    plan.seed = seed;
    DiscoveryFleet fleet(plan);
    FaultInjector faults(fleet, seed, more);
    fleet.changeConfiguration();
    fleet.run(Seconds(4));
    const std::string name = "seed " + std::to_string(seed);
    for (int round = 0; round < Rounds; ++round) {
        faults.next();
        fleet.run(Millis(500));
        CHECK_FALSE_TEXT(fleet.hasRegressed(), name.c_str());
        const bool usesKnownLeft = fleet.usesKnownLeftTarget([&faults](Instant at) {
            return faults.wasStable(at);
        });
        CHECK_FALSE_TEXT(usesKnownLeft, name.c_str());
        const std::optional<Instant> since = faults.undisturbedSince();
        if (since && Clock::now() - *since > StableAfter) {
            CHECK_EQUAL_TEXT(0, fleet.behind(ConfigurationBound), name.c_str());
            const Instant stableSince = *since + StableAfter;
            CHECK_EQUAL_TEXT(0, fleet.sendingToLeftTargets(DrainBound, stableSince), name.c_str());
            CHECK_EQUAL_TEXT(0, fleet.lackingTargets(DrainBound), name.c_str());
            if (Clock::now() - stableSince > DrainBound) {
                CHECK_EQUAL_TEXT(0, fleet.sendingToLeftTargets(DrainBound + StableAfter), name.c_str());
            }
        }
    }
}

void checkGuarantees(std::uint64_t seed)
{
    checkDisturbedFleet(seed, {}, checkAll);
}

// Calls `check` with fleets of each number of processes per failure domain, drawn from ten seeds each, in which a
// configuration is in force.
void forEachConfiguredFleet(std::initializer_list<std::size_t> sizes,
                            const std::function<void(DiscoveryFleet &, const DiscoveryFleetPlan &)> &check)
{
    for (const std::size_t perDomain : sizes) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            DiscoveryFleetPlan plan;
            plan.perDomain = perDomain;
            plan.seed = seed;
            DiscoveryFleet fleet(plan);
            fleet.changeConfiguration();
            fleet.run(Seconds(4) + Millis(137) * seed);
            check(fleet, plan);
        }
    }
}

void checkChangeIsInForceInTime(DiscoveryFleet &fleet)
{
    fleet.changeConfiguration();
    fleet.run(ConfigurationBound + Millis(1));
    CHECK_EQUAL(0, fleet.behind(ConfigurationBound));
}

} // namespace

TEST_GROUP(DiscoveryFleet) {};

TEST(DiscoveryFleet, configurationsAndLeavingTargetsAreKnownInTimeDespiteFaults)
{
    constexpr std::uint64_t Seeds = 30;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        checkGuarantees(seed);
    }
}

TEST(DiscoveryFleet, configurationsAreInForceInTimeDespiteFaultsAndStalledResponses)
{
    for (std::uint64_t seed = 1; seed <= SeedsOfFurtherFaults; ++seed) {
        checkDisturbedFleet(seed, { .stalledResponses = true }, checkConfigurations);
    }
}

// Guards against lists of targets that wait for responses which have begun and don't go on.
TEST(DiscoveryFleet, leavingTargetsAreKnownInTimeDespiteFaultsAndStalledResponses)
{
    for (std::uint64_t seed = 1; seed <= SeedsOfFurtherFaults; ++seed) {
        checkDisturbedFleet(seed, { .stalledResponses = true }, checkTargets);
    }
}

TEST(DiscoveryFleet, configurationsAndLeavingTargetsAreKnownInTimeDespiteFaultsAndSilentConnections)
{
    for (std::uint64_t seed = 1; seed <= SeedsOfFurtherFaults; ++seed) {
        checkDisturbedFleet(seed, { .silentConnections = true }, checkAll);
    }
}

// Guards against positions, lists and removals of a history that the store has lost. Targets that left were kept in use
// with seeds 5001, 5006, 5010 and 5017: a list from another process didn't tell that their entries had expired. With
// 5019 and 5070 differences between lists brought them back, and with 5171 a process that learned of the return late
// didn't remember them.
TEST(DiscoveryFleet, guaranteesHoldAfterTheStoreCameBackFromAnOlderCopy)
{
    for (std::uint64_t seed = 1; seed <= SeedsOfFurtherFaults; ++seed) {
        checkDrills(seed);
    }
    for (const std::uint64_t seed : { 5'001, 5'006, 5'010, 5'017, 5'019, 5'070, 5'171 }) {
        checkDrills(seed);
    }
}

// Guards against targets that left and are used again when the store comes back twice in short succession.
TEST(DiscoveryFleet, guaranteesHoldAfterTheStoreCameBackFromOlderCopiesInShortSuccession)
{
    const MoreFaults more { .drillInterval = Seconds(1), .drillProbability = 0.5 };
    for (std::uint64_t seed = 1; seed <= SeedsOfFurtherFaults; ++seed) {
        checkDrills(seed, more);
    }
    for (const std::uint64_t seed : { 5'049, 5'056, 5'094 }) {
        checkDrills(seed, more);
    }
}

TEST(DiscoveryFleet, seedsThatFoundFailures)
{
    for (const std::uint64_t seed : { 38, 57, 88, 120, 205, 305 }) {
        checkGuarantees(seed);
    }
}

// Guards against a process that, after a suspension, uses its old list during an outage although other processes have a
// newer one.
TEST(DiscoveryFleet, processThatReconnectsDuringAnOutageLearnsWhichTargetsLeft)
{
    constexpr Duration LearnedWithin = Millis(500);
    constexpr std::size_t Reader = 0;
    for (const StoreAccess access : { StoreAccess::Refused, StoreAccess::Unresponsive }) {
        DiscoveryFleet fleet(DiscoveryFleetPlan {});
        const std::size_t target = fleet.startTarget();
        fleet.changeConfiguration();
        fleet.run(Seconds(4));
        fleet.setDisconnected(Reader, true);
        fleet.setAccess(Reader, access);
        fleet.drainTarget(target);
        fleet.run(Seconds(2));
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            fleet.setAccess(index, access);
        }
        fleet.run(Millis(1'500));
        CHECK_FALSE(fleet.knowsTargetLeft(Reader, target));
        fleet.setDisconnected(Reader, false);
        fleet.run(LearnedWithin);
        CHECK_TRUE(fleet.knowsTargetLeft(Reader, target));
    }
}

// Guards against processes that wait for several unresponsive processes, one after the other, before they query a store
// that serves them.
TEST(DiscoveryFleet, unresponsiveReaderDoesNotKeepOthersFromTheStore)
{
    constexpr Duration LearnedWithin = Millis(1'300); // half a second after the next regular read has started
    constexpr Duration MaxPhase = Millis(800); // between two regular reads
    constexpr Duration PhaseStep = Millis(50);
    for (Duration phase {}; phase < MaxPhase; phase += PhaseStep) {
        DiscoveryFleetPlan plan;
        plan.domains = 1;
        plan.seed = static_cast<std::uint64_t>(phase / PhaseStep);
        DiscoveryFleet fleet(plan);
        const std::size_t target = fleet.startTarget();
        fleet.changeConfiguration();
        fleet.run(Seconds(4) + phase);
        fleet.setDisconnected(0, true);
        fleet.setAccess(1, StoreAccess::Unresponsive);
        fleet.drainTarget(target);
        fleet.run(LearnedWithin);
        CHECK_TRUE(fleet.knowsTargetLeft(2, target));
        CHECK_TRUE(fleet.knowsTargetLeft(3, target));
    }
}

// Guards against processes that wait on unresponsive connections to the store while new connections work.
TEST(DiscoveryFleet, ConfigurationIsInForceInTimeWhenAllConnectionsToTheStoreFallSilent)
{
    forEachConfiguredFleet({ 1, 4, 100 }, [](DiscoveryFleet &fleet, const DiscoveryFleetPlan &plan) {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            fleet.silenceStoreConnections(index);
        }
        fleet.run(Millis(50) * (plan.seed % 5));
        checkChangeIsInForceInTime(fleet);
    });
}

// Guards against lists that are too old when the store serves no ingress proxy.
TEST(DiscoveryFleet, listsAreKnownInTimeWhenNoIngressProxyIsServed)
{
    for (const std::uint64_t seed : { 40, 50 }) {
        checkGuarantees(seed);
    }
}

// Guards against a process that, once the store serves it again, keeps using targets that left meanwhile.
TEST(DiscoveryFleet, processThatTheStoreServesAgainUsesNoTargetThatLeft)
{
    constexpr std::size_t Idle = 3;
    constexpr Duration MaxDelay = Seconds(2);
    constexpr Duration DelayStep = Millis(100);
    for (Duration delay {}; delay < MaxDelay; delay += DelayStep) {
        DiscoveryFleetPlan plan;
        plan.activePerDomain = 1;
        DiscoveryFleet fleet(plan);
        const std::size_t target = fleet.startTarget();
        fleet.changeConfiguration();
        fleet.run(Seconds(4));
        for (std::size_t index = 0; index < plan.perDomain; ++index) {
            fleet.setAccess(index, StoreAccess::Refused);
        }
        CHECK_FALSE(fleet.requestMayReachLeftTarget(Idle, DrainBound));
        fleet.run(Seconds(4));
        for (std::size_t index = 0; index < plan.perDomain; ++index) {
            fleet.setAccess(index, StoreAccess::Served);
        }
        fleet.removeTarget(target);
        fleet.run(delay);
        CHECK_FALSE(fleet.requestMayReachLeftTarget(Idle, DrainBound));
        fleet.run(DrainBound - delay);
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            CHECK_FALSE(fleet.requestMayReachLeftTarget(index, DrainBound));
        }
    }
}

// Guards against live targets that get no requests after an outage of the store in which their entries expired.
TEST(DiscoveryFleet, targetsWhoseEntriesExpiredInAnOutageStayInUse)
{
    constexpr Duration MaxOutage = Seconds(5);
    constexpr Duration OutageStep = Millis(100);
    constexpr Duration EntriesBackWithin = Seconds(2);
    for (Duration outage = Seconds(3); outage < MaxOutage; outage += OutageStep) {
        DiscoveryFleetPlan plan;
        DiscoveryFleet fleet(plan);
        const std::size_t target = fleet.startTarget();
        fleet.changeConfiguration();
        fleet.run(Seconds(4));
        fleet.setAccessOfAll(StoreAccess::Refused);
        fleet.run(outage);
        fleet.expireTarget(target);
        fleet.setAccessOfAll(StoreAccess::Served);
        for (Duration back {}; back < EntriesBackWithin; back += OutageStep) {
            fleet.run(OutageStep);
            for (std::size_t index = 0; index < fleet.size(); ++index) {
                CHECK_TRUE(fleet.uses(index, target));
            }
        }
        fleet.renewTarget(target);
        fleet.run(Seconds(2));
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            CHECK_TRUE(fleet.uses(index, target));
        }
    }
}

// Guards against processes that wait for a paused reader until the store, which has just returned, is unavailable
// again.
TEST(DiscoveryFleet, targetsThatLeftAreKnownSoonAfterTheStoreReturnsAlthoughTheReaderIsPaused)
{
    constexpr Duration LearnedWithin = Millis(900);
    constexpr std::size_t Reader = 0;
    constexpr Duration MaxOutage = Seconds(4);
    constexpr Duration OutageStep = Millis(50);
    for (Duration outage = DrainBound - LearnedWithin; outage < MaxOutage; outage += OutageStep) {
        DiscoveryFleetPlan plan;
        plan.domains = 1;
        plan.seed = static_cast<std::uint64_t>(outage / OutageStep);
        DiscoveryFleet fleet(plan);
        const std::size_t target = fleet.startTarget();
        fleet.changeConfiguration();
        fleet.run(Seconds(4) + outage / 3);
        fleet.setAccessOfAll(StoreAccess::Refused);
        fleet.drainTarget(target);
        fleet.run(outage);
        fleet.setDisconnected(Reader, true);
        fleet.setAccess(Reader, StoreAccess::Unresponsive);
        for (std::size_t index = Reader + 1; index < fleet.size(); ++index) {
            fleet.setAccess(index, StoreAccess::Served);
        }
        fleet.run(LearnedWithin);
        for (std::size_t index = Reader + 1; index < fleet.size(); ++index) {
            CHECK_TRUE_TEXT(fleet.knowsTargetLeft(index, target),
                            (std::to_string(index) + " after " + std::to_string(outage / Millis(1)) + " ms").c_str());
        }
    }
}

// Guards against processes that query a paused reader once more as one of the other processes before they read the
// store.
TEST(DiscoveryFleet, targetsThatLeftAreKnownAfterAShortOutageAlthoughTheReaderIsPaused)
{
    constexpr Duration LearnedWithin = Millis(1'100); // the interval between two reads, and a wait for the reader
    constexpr std::size_t Reader = 0;
    constexpr Duration Outage = Millis(300);
    for (Duration phase {}; phase < Millis(800); phase += Millis(50)) {
        DiscoveryFleetPlan plan;
        plan.domains = 1;
        plan.seed = static_cast<std::uint64_t>(phase / Millis(50));
        DiscoveryFleet fleet(plan);
        const std::size_t target = fleet.startTarget();
        fleet.changeConfiguration();
        fleet.run(Seconds(4) + phase);
        fleet.setAccessOfAll(StoreAccess::Refused);
        fleet.drainTarget(target);
        fleet.run(Outage);
        fleet.setAccessOfAll(StoreAccess::Served);
        fleet.setDisconnected(Reader, true);
        fleet.setAccess(Reader, StoreAccess::Unresponsive);
        fleet.run(LearnedWithin);
        for (std::size_t index = Reader + 1; index < fleet.size(); ++index) {
            CHECK_TRUE(fleet.knowsTargetLeft(index, target));
        }
    }
}

// Guards against processes that wait for one response that has begun and doesn't go on, while others have the version.
TEST(DiscoveryFleet, configurationIsInForceInTimeAlthoughTheResponsesOfAReaderStall)
{
    forEachConfiguredFleet({ 4, 20 }, [](DiscoveryFleet &fleet, const DiscoveryFleetPlan &) {
        fleet.setStalled(0, true);
        for (int change = 0; change < 3; ++change) {
            checkChangeIsInForceInTime(fleet);
        }
    });
}

// Guards against a configuration that no process reads for seconds after those that read it have left.
TEST(DiscoveryFleet, configurationIsInForceInTimeAfterAllReadersHaveLeft)
{
    constexpr std::size_t Readers = 2; // of each failure domain
    forEachConfiguredFleet({ 5, 20 }, [](DiscoveryFleet &fleet, const DiscoveryFleetPlan &plan) {
        for (std::size_t domain = 0; domain < plan.domains; ++domain) {
            for (std::size_t reader = 0; reader < Readers; ++reader) {
                fleet.setDisconnected(domain * plan.perDomain + reader, true);
            }
        }
        fleet.run(Seconds(4)); // until the others consider them dead
        checkChangeIsInForceInTime(fleet);
    });
}
