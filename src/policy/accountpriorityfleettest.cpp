// Division of accounts' limits by priority over a fleet on virtual time: what callers of each priority get.
#include <CppUTest/TestHarness.h>

#include "../../tests/allowancefleet.h"

using namespace mulberryplank;
using namespace mulberryplank::allowancefleet;

namespace
{

constexpr Duration Settled = Seconds(10); // after the start of a fleet
constexpr int Processes = 10; // of which six are ingress proxies

// Returns the load of one account, in requests per second of each priority, at all processes.
std::vector<Load> loadsOf(double limit, const std::vector<double> &perSecond)
{
    std::vector<Load> loads;
    for (std::size_t index = 0; index < perSecond.size(); ++index) {
        loads.push_back(evenLoad("press", limit, perSecond[index], Processes));
        loads.back().priority = static_cast<std::uint32_t>(index);
    }
    return loads;
}

double totalPerSecond(const Fleet &fleet, std::size_t loads, Instant from)
{
    double total = 0;
    for (std::size_t load = 0; load < loads; ++load) {
        total += fleet.result(load, from).servedPerSecond;
    }
    return total;
}

} // namespace

TEST_GROUP(AccountPriorityFleet) {};

// Guards against urgent requests that are refused while less urgent ones use up the account's limit.
TEST(AccountPriorityFleet, urgentRequestsOfAShortAccountAreServedFirst)
{
    for (const double limit : { 12.0, 60.0, 300.0 }) {
        const Instant from = Start + Settled;
        std::vector<Load> loads = loadsOf(limit, { limit * 0.3, limit * 0.4, limit });
        Fleet fleet({}, loads);
        fleet.run(Seconds(60));
        CHECK_TRUE(fleet.result(0, from).served >= 0.95);
        CHECK_TRUE(fleet.result(1, from).served >= 0.85);
        CHECK_TRUE(fleet.result(2, from).servedPerSecond >= PriorityShare::MinShare * limit);
        CHECK_TRUE(fleet.result(0, Start).mostUsed <= 1);
        for (Load &load : loads) {
            load.priority = 1;
        }
        Fleet undivided({}, loads);
        undivided.run(Seconds(60));
        CHECK_TRUE(totalPerSecond(fleet, 3, from) >= 0.9 * totalPerSecond(undivided, 3, from));
    }
}

// Guards against callers of the least urgent routes that are never served.
TEST(AccountPriorityFleet, leastUrgentRequestsAreNotStarved)
{
    for (const double limit : { 12.0, 60.0, 300.0 }) {
        Fleet fleet({}, loadsOf(limit, { limit * 4, 0, limit }));
        fleet.run(Seconds(60));
        const Instant from = Start + Settled;
        CHECK_TRUE(fleet.result(2, from).servedPerSecond >= PriorityShare::MinShare * limit);
        CHECK_TRUE(fleet.result(0, from).servedPerSecond >= (1 - 2 * PriorityShare::MinShare) * limit);
        CHECK_TRUE(fleet.result(0, Start).mostUsed <= 1);
    }
}

TEST(AccountPriorityFleet, accountThatIsNotShortIsServedAsWithoutPriorities)
{
    std::vector<Load> loads = loadsOf(300, { 30, 20, 40 });
    Fleet divided({}, loads);
    divided.run(Seconds(30));
    for (Load &load : loads) {
        load.priority = 0;
    }
    Fleet undivided({}, loads);
    undivided.run(Seconds(30));
    for (std::size_t load = 0; load < loads.size(); ++load) {
        DOUBLES_EQUAL(undivided.result(load, Start).servedPerSecond, divided.result(load, Start).servedPerSecond, 0);
    }
    CHECK_EQUAL(undivided.messages(), divided.messages());
}

// Guards against a limit that is exceeded, or urgent requests that aren't served first, because a process that kept a
// part for others was killed or its messages were lost.
TEST(AccountPriorityFleet, limitHoldsAndUrgentRequestsGoFirstWhileProcessesAreKilledAndMessagesLost)
{
    Settings settings;
    settings.loss = 0.2;
    Fleet fleet(settings, loadsOf(60, { 15, 20, 80 }));
    fleet.run(Seconds(20));
    fleet.kill(1);
    fleet.kill(4);
    const Instant killedAt = fleet.now();
    fleet.run(Seconds(20));
    fleet.start(1);
    fleet.start(4);
    fleet.run(Seconds(20));
    CHECK_TRUE(fleet.result(0, Start).mostUsed <= 1);
    CHECK_TRUE(fleet.result(0, killedAt).served >= 0.85);
    CHECK_TRUE(fleet.result(0, killedAt).served > 2 * fleet.result(2, killedAt).served);
}
