// Limits of accounts over a fleet on virtual time: no more than the limit is used, and what it allows can be used.
#include <array>

#include <CppUTest/TestHarness.h>

#include "../../tests/allowancefleet.h"

using namespace mulberryplank;
using namespace mulberryplank::allowancefleet;

namespace
{

constexpr Duration Settled = Seconds(10); // after the start of a fleet

double mostUsed(const Fleet &fleet, std::size_t loads, Instant from)
{
    double most = 0;
    for (std::size_t load = 0; load < loads; ++load) {
        most = std::max(most, fleet.result(load, from).mostUsed);
    }
    return most;
}

// Kills all processes and starts them a second later.
void restartAll(Fleet &fleet, int processes)
{
    for (int process = 0; process < processes; ++process) {
        fleet.kill(process);
    }
    fleet.run(Seconds(1));
    for (int process = 0; process < processes; ++process) {
        fleet.start(process);
    }
}

// Returns a load of six processes, three fifths of it at two of them.
Load unevenLoad(const std::string &name, double limit, double perSecond)
{
    Load load = evenLoad(name, limit, perSecond, 6);
    load.part = [](int process, Instant) {
        constexpr std::array Parts { 0.4, 0.2, 0.1, 0.1, 0.1, 0.1 };
        return process < 6 ? Parts.at(static_cast<std::size_t>(process)) : 0;
    };
    return load;
}

// Returns the share of the requests of usual loads that a fleet of that size serves, as a mean over the accounts.
// Checks that it exceeds no limit.
double meanServed(int processes)
{
    Settings settings;
    settings.ingressProxies = processes;
    Fleet fleet(settings, usualLoads(85, 590, processes));
    fleet.run(Seconds(30));
    const std::size_t loads = fleet.loads().size();
    CHECK_TRUE(mostUsed(fleet, loads, Start) <= 1);
    double served = 0;
    for (std::size_t load = 0; load < loads; ++load) {
        served += fleet.result(load, Start + Settled).served / static_cast<double>(loads);
    }
    return served;
}

} // namespace

TEST_GROUP(AllowanceFleet) {};

// Some demand arrives in bursts beyond the limit, so a process that has the whole limits is the measure.
TEST(AllowanceFleet, demandBelowTheLimitsIsServedAsByOneProcess)
{
    const double servedByOne = meanServed(1);
    for (const int processes : { 3, 6, 20 }) {
        CHECK_TRUE(meanServed(processes) >= 0.95 * servedByOne);
    }
}

// Between the moment at which a small limit allows a request and the next request nothing is earned, also by one
// process that has the whole limit, so that is the measure.
TEST(AllowanceFleet, demandBeyondALimitUsesAllOfItAndNoMore)
{
    for (const double limit : { 1.0, 12.0, 200.0 }) {
        const auto play = [limit](int processes) {
            Settings settings;
            settings.ingressProxies = processes;
            Fleet fleet(settings, { evenLoad("hot", limit, limit * 8, processes) });
            fleet.run(Seconds(40));
            return fleet.result(0, Start + Settled);
        };
        const AccountResult result = play(6);
        CHECK_TRUE(result.mostUsed <= 1);
        CHECK_TRUE(result.served >= 0.95 * play(1).served);
    }
}

// Guards against accounts without a burst that are refused although they stay within their limit.
TEST(AllowanceFleet, demandBelowALimitWithoutABurstIsServed)
{
    Load load = evenLoad("press", 100, 60, 6);
    load.account.limit.burst = 0;
    Fleet fleet({}, { load });
    fleet.run(Seconds(30));
    CHECK_TRUE(fleet.result(0, Start + Settled).served >= 0.95);
    CHECK_TRUE(fleet.result(0, Start).mostUsed <= 1);
}

// Guards against limits that only callers of several gateways can use.
TEST(AllowanceFleet, limitIsUsableByCallersOfOneProcess)
{
    for (const int process : { 0, 8 }) {
        Load load = evenLoad("press", 100, 95, 1);
        load.part = [process](int number, Instant) {
            return number == process ? 1.0 : 0.0;
        };
        Fleet fleet({}, { load });
        fleet.run(Seconds(40));
        const AccountResult result = fleet.result(0, Start + Settled);
        CHECK_TRUE(result.served >= 0.95);
        CHECK_TRUE(result.mostUsed <= 1);
    }
}

TEST(AllowanceFleet, limitIsUsableSoonAfterDemandHasMoved)
{
    Load load = evenLoad("press", 100, 95, 1);
    const Instant moveAt = Start + Seconds(20);
    load.part = [moveAt](int number, Instant now) {
        return number == (now < moveAt ? 0 : 3) ? 1.0 : 0.0;
    };
    Fleet fleet({}, { load });
    fleet.run(Seconds(25));
    CHECK_TRUE(fleet.result(0, moveAt).served >= 0.95);
}

TEST(AllowanceFleet, deadHoldersLeaveTheLimitUsable)
{
    Fleet fleet({}, usualLoads(20, 200, 4));
    fleet.run(Seconds(20));
    fleet.kill(4);
    fleet.kill(5);
    const Instant killedAt = fleet.now();
    fleet.run(Seconds(20));
    double served = 0;
    for (std::size_t load = 0; load < fleet.loads().size(); ++load) {
        served += fleet.result(load, killedAt).served / static_cast<double>(fleet.loads().size());
    }
    CHECK_TRUE(served >= 0.9);
    CHECK_TRUE(mostUsed(fleet, fleet.loads().size(), Start) <= 1);
}

// Guards against limits that a restart of many processes extends, or that are unusable after it.
TEST(AllowanceFleet, limitsHoldThroughARestartOfAllProcesses)
{
    Fleet fleet({}, { evenLoad("hot", 50, 400, 6), evenLoad("usual", 50, 30, 6) });
    fleet.run(Seconds(20));
    for (int process = 0; process < 10; ++process) {
        fleet.kill(process);
    }
    fleet.run(Seconds(1));
    for (int process = 0; process < 10; ++process) {
        fleet.start(process);
    }
    const Instant startedAt = fleet.now();
    fleet.run(Seconds(15));
    CHECK_TRUE(mostUsed(fleet, 2, Start) <= 1);
    CHECK_TRUE(fleet.result(1, startedAt).served >= 0.95);
}

// Guards against gateways that disagree on the holders of limits for half a minute after a restart of all, because each
// took others for ingress proxies while it joined.
TEST(AllowanceFleet, limitsHoldAndAreUsableAfterAllProcessesHaveJoinedSlowly)
{
    Settings settings;
    settings.otherProcesses = 30;
    settings.maxJoinTime = Seconds(5);
    Fleet fleet(settings, { evenLoad("hot", 50, 400, 6), evenLoad("usual", 50, 30, 6), evenLoad("small", 4, 2, 6) });
    fleet.run(Seconds(20));
    restartAll(fleet, 36);
    fleet.run(Seconds(7));
    const Instant joinedAt = fleet.now();
    fleet.run(Seconds(10));
    CHECK_TRUE(fleet.result(0, Start).mostUsed <= 1.1);
    CHECK_TRUE(fleet.result(1, joinedAt).served >= 0.95);
    CHECK_TRUE(fleet.result(2, joinedAt).served >= 0.95);
}

// Guards against requests within the limit that are refused because they arrive unevenly while processes join.
TEST(AllowanceFleet, unevenLoadIsServedWhileAllProcessesJoinSlowly)
{
    double served = 0;
    constexpr int Seeds = 8;
    for (int seed = 1; seed <= Seeds; ++seed) {
        Settings settings;
        settings.seed = static_cast<std::uint64_t>(seed);
        settings.otherProcesses = 30;
        settings.maxJoinTime = Seconds(5);
        Fleet fleet(settings, { unevenLoad("uneven", 50, 30), unevenLoad("hot", 50, 400) });
        fleet.run(Seconds(20));
        restartAll(fleet, 36);
        const Instant startedAt = fleet.now();
        fleet.run(Seconds(7));
        served += fleet.result(0, startedAt).served / Seeds;
        CHECK_TRUE(fleet.result(1, Start).mostUsed <= 1.1);
    }
    CHECK_TRUE(served >= 0.95);
}

TEST(AllowanceFleet, limitsHoldThroughARollingRestart)
{
    Fleet fleet({}, { evenLoad("hot", 50, 400, 6), evenLoad("usual", 50, 30, 6), evenLoad("small", 2, 1, 6) });
    fleet.run(Seconds(20));
    for (int process = 0; process < 10; ++process) {
        fleet.kill(process);
        fleet.run(Millis(1'500));
        fleet.start(process);
        fleet.run(Millis(500));
    }
    CHECK_TRUE(mostUsed(fleet, 3, Start) <= 1.1);
    CHECK_TRUE(fleet.result(1, Start + Settled).served >= 0.95);
}

// A process that is cut off and one that takes its place may both use a part: at most the parts of the cut ones.
TEST(AllowanceFleet, processThatIsCutOffAddsNoMoreThanItsPart)
{
    Fleet fleet({}, { evenLoad("hot", 50, 400, 10) });
    fleet.run(Seconds(20));
    fleet.cut(0);
    fleet.run(Seconds(20));
    fleet.rejoin(0);
    fleet.run(Seconds(10));
    CHECK_TRUE(mostUsed(fleet, 1, Start) <= 1 + 1.0 / 6);
}

TEST(AllowanceFleet, limitIsLoweredFarBelowDemand)
{
    Fleet fleet({}, { evenLoad("press", 200, 150, 6) });
    fleet.run(Seconds(20));
    fleet.loads().front().account.limit = { 10, 10 };
    const Instant loweredAt = fleet.now();
    fleet.run(Millis(5'500));
    CHECK_TRUE(fleet.result(0, loweredAt).mostUsed >= 0.9);
    fleet.run(Seconds(10));
    CHECK_TRUE(fleet.result(0, loweredAt).mostUsed <= 1);
}

TEST(AllowanceFleet, lostAndSlowMessagesBreakNoLimit)
{
    Settings settings;
    settings.loss = 0.3;
    settings.maxLatency = Millis(40);
    Fleet fleet(settings, usualLoads(20, 300, 6));
    fleet.run(Seconds(30));
    CHECK_TRUE(mostUsed(fleet, fleet.loads().size(), Start) <= 1);
}
