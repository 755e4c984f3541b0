#include <string>

#include <CppUTest/TestHarness.h>

#include "../../tests/newsfleet.h"

using namespace mulberryplank;

namespace
{

constexpr Duration ConfigurationBound = Seconds(2); // from its confirmation until a configuration is in force
constexpr Duration DrainBound = Seconds(2); // from a target's leaving until it gets no requests any more
constexpr std::size_t Targets = 6;

// Draws the disturbances of a fleet from its seed.
class Troubles
{
public:
    Troubles(NewsFleet &fleet, std::uint64_t seed)
        : m_fleet(fleet)
        , m_random(seed)
        , m_access(fleet.size(), StoreAccess::Served)
        , m_isCut(fleet.size(), false)
    {
        for (std::size_t target = 0; target < Targets; ++target) {
            m_targets.push_back(fleet.startTarget());
        }
    }

    // Changes something with some likelihood.
    void next()
    {
        if (chance(0.1)) {
            m_fleet.restartProcess(anyProcess());
        }
        if (chance(0.3)) {
            changeAccess();
        }
        if (chance(0.1)) {
            changeCut();
        }
        if (chance(0.3)) {
            m_fleet.changeConfiguration();
        }
        std::size_t &target = m_targets[any(Targets)];
        if (chance(0.3)) {
            m_fleet.drainTarget(target);
            target = m_fleet.startTarget();
        } else {
            m_fleet.renewTarget(target);
        }
    }

private:
    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    std::size_t any(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    std::size_t anyProcess()
    {
        return any(m_fleet.size());
    }

    // At least half of the processes are served and connected.
    bool mayLoseOne() const
    {
        std::size_t well = 0;
        for (std::size_t index = 0; index < m_fleet.size(); ++index) {
            well += m_access[index] == StoreAccess::Served && !m_isCut[index] ? 1 : 0;
        }
        return well * 2 > m_fleet.size();
    }

    void changeCut()
    {
        const std::size_t index = anyProcess();
        m_isCut[index] = !m_isCut[index] && mayLoseOne();
        m_fleet.setCut(index, m_isCut[index]);
    }

    void changeAccess()
    {
        const std::size_t index = anyProcess();
        const StoreAccess lost = chance(0.5) ? StoreAccess::Refused : StoreAccess::Silent;
        m_access[index] = m_access[index] == StoreAccess::Served && mayLoseOne() ? lost : StoreAccess::Served;
        m_fleet.setAccess(index, m_access[index]);
    }

    NewsFleet &m_fleet;
    std::mt19937_64 m_random;
    std::vector<StoreAccess> m_access;
    std::vector<bool> m_isCut;
    std::vector<std::size_t> m_targets; // that don't leave yet
};

// Plays a fleet whose disturbances are drawn from `seed`, and checks all the time what its users were promised.
void checkPromises(std::uint64_t seed)
{
    constexpr int Rounds = 40;
    constexpr int ChecksInARound = 5;
    NewsFleetPlan plan;
    plan.seed = seed;
    NewsFleet fleet(plan);
    Troubles troubles(fleet, seed);
    fleet.changeConfiguration();
    fleet.run(Seconds(4));
    const std::string name = "seed " + std::to_string(seed);
    for (int round = 0; round < Rounds; ++round) {
        troubles.next();
        for (int check = 0; check < ChecksInARound; ++check) {
            fleet.run(Millis(100));
            CHECK_EQUAL_TEXT(0, fleet.behind(ConfigurationBound), name.c_str());
            CHECK_EQUAL_TEXT(0, fleet.sendingToTheLeft(DrainBound), name.c_str());
            CHECK_FALSE_TEXT(fleet.hasGoneBack(), name.c_str());
        }
    }
}

} // namespace

TEST_GROUP(NewsFleet) {};

TEST(NewsFleet, configurationsAndLeavingTargetsAreKnownInTimeWhateverFails)
{
    constexpr std::uint64_t Seeds = 30;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        checkPromises(seed);
    }
}

TEST(NewsFleet, seedsThatWereBroken)
{
    for (const std::uint64_t seed : { 38, 57, 88, 120, 205, 305 }) {
        checkPromises(seed);
    }
}

// Failure: a process that was suspended goes by its old list in an outage, though others have a newer one.
TEST(NewsFleet, processThatReturnsDuringAnOutageLearnsWhichTargetsHaveLeft)
{
    constexpr Duration LearntWithin = Millis(500);
    constexpr std::size_t Reader = 0;
    for (const StoreAccess access : { StoreAccess::Refused, StoreAccess::Silent }) {
        NewsFleet fleet(NewsFleetPlan {});
        const std::size_t target = fleet.startTarget();
        fleet.changeConfiguration();
        fleet.run(Seconds(4));
        fleet.setCut(Reader, true);
        fleet.setAccess(Reader, access);
        fleet.drainTarget(target);
        fleet.run(Seconds(2));
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            fleet.setAccess(index, access);
        }
        fleet.run(Millis(1'500));
        CHECK_FALSE(fleet.knowsThatLeft(Reader, target));
        fleet.setCut(Reader, false);
        fleet.run(LearntWithin);
        CHECK_TRUE(fleet.knowsThatLeft(Reader, target));
    }
}

// Failure: processes wait for others that give no answer, one after the other, before they ask a store that serves
// them.
TEST(NewsFleet, readerThatFallsSilentDoesNotKeepOthersFromTheStore)
{
    constexpr Duration LearntWithin = Millis(1'300); // half a second after the next regular read has begun
    constexpr Duration LongestPhase = Millis(800); // between two regular reads
    constexpr Duration PhaseStep = Millis(50);
    for (Duration phase {}; phase < LongestPhase; phase += PhaseStep) {
        NewsFleetPlan plan;
        plan.domains = 1;
        plan.seed = static_cast<std::uint64_t>(phase / PhaseStep);
        NewsFleet fleet(plan);
        const std::size_t target = fleet.startTarget();
        fleet.changeConfiguration();
        fleet.run(Seconds(4) + phase);
        fleet.setCut(0, true);
        fleet.setAccess(1, StoreAccess::Silent);
        fleet.drainTarget(target);
        fleet.run(LearntWithin);
        CHECK_TRUE(fleet.knowsThatLeft(2, target));
        CHECK_TRUE(fleet.knowsThatLeft(3, target));
    }
}

// Guards against lists that are too old where no entry is served by the store.
TEST(NewsFleet, listsAreKnownInTimeWhereNoEntryIsServed)
{
    for (const std::uint64_t seed : { 40, 50 }) {
        checkPromises(seed);
    }
}
