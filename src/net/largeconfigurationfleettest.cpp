// Large configurations in a fleet most of whose VMs have a narrow link and a tenth of a core.
#include <string>

#include <CppUTest/TestHarness.h>

#include "../../tests/discoveryfleet.h"

using namespace mulberryplank;

namespace
{

// Of the two seconds in which a configuration has to be in force, a quarter: the rest is for processes and connections
// that don't respond.
constexpr Duration CalmBound = Millis(500);
constexpr Duration ConfigurationBound = Seconds(2);
constexpr Duration TenthOfACore = Millis(130); // to decode a megabyte
constexpr std::size_t PerDomain = 33; // the first is the designated reader
constexpr std::size_t RowsOfLargeChange = 1'400;
// Sanitizers make the seeds ten times slower, and the memory errors that they look for don't depend on them.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t Seeds = 1;
#else
constexpr std::uint64_t Seeds = 4;
#endif

DiscoveryFleetPlan planOf(std::uint64_t seed)
{
    DiscoveryFleetPlan plan;
    plan.perDomain = PerDomain;
    plan.seed = seed;
    plan.strongPerDomain = 2;
    return plan;
}

// Checks for as long as changes take that none is in force later than `bound` after it was confirmed.
void checkInForceWithin(DiscoveryFleet &fleet, Duration bound, std::uint64_t seed)
{
    constexpr Duration CheckInterval = Millis(20);
    const std::string name = "seed " + std::to_string(seed);
    for (Duration passed {}; passed < ConfigurationBound; passed += CheckInterval) {
        fleet.run(CheckInterval);
        CHECK_EQUAL_TEXT(0, fleet.behind(bound), name.c_str());
    }
}

// Changes the configuration of a fleet whose designated readers share their links with requests, so that the other
// process that reads it in each failure domain announces each change first.
void checkCalmFleet(Duration decodingPerMegabyte)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        DiscoveryFleetPlan plan = planOf(seed);
        plan.hintLossRate = 0;
        plan.decodingPerMegabyte = decodingPerMegabyte;
        DiscoveryFleet fleet(plan);
        for (std::size_t reader = 0; reader < fleet.size(); reader += PerDomain) {
            fleet.setLinkShare(reader, 0.5);
        }
        fleet.changeConfiguration();
        fleet.run(Seconds(4) + Millis(37) * seed);
        const int wholeReads = fleet.wholeReads();
        for (int change = 0; change < 3; ++change) {
            fleet.addRows(RowsOfLargeChange);
            fleet.changeConfiguration();
            checkInForceWithin(fleet, CalmBound, seed);
            fleet.addRows(1);
            fleet.changeConfiguration();
            checkInForceWithin(fleet, CalmBound, seed);
        }
        CHECK_EQUAL(wholeReads, fleet.wholeReads());
    }
}

} // namespace

TEST_GROUP(LargeConfigurationFleet) {};

// Guards against processes that read the whole configuration from the store because the first one they query lacks it.
TEST(LargeConfigurationFleet, changesReachAllProcessesSoonFromOtherProcesses)
{
    checkCalmFleet({});
}

TEST(LargeConfigurationFleet, changesAreInForceSoonWhereDecodingIsSlow)
{
    checkCalmFleet(TenthOfACore);
}

TEST(LargeConfigurationFleet, changesAreInForceInTimeBesideAStalledReader)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        DiscoveryFleetPlan plan = planOf(seed);
        plan.decodingPerMegabyte = TenthOfACore;
        DiscoveryFleet fleet(plan);
        fleet.addRows(3 * RowsOfLargeChange);
        fleet.changeConfiguration();
        fleet.run(Seconds(4) + Millis(37) * seed);
        fleet.setStalled(0, true);
        for (int change = 0; change < 3; ++change) {
            fleet.addRows(1);
            fleet.changeConfiguration();
            checkInForceWithin(fleet, ConfigurationBound, seed);
        }
    }
}
