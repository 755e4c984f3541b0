#include "mulberryplank/state/servicestate.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr int TargetCount = 6;
constexpr std::uint32_t Slots = 4;

Service proofService()
{
    Service service;
    service.name = ServiceName("proofroom");
    service.slotsPerTarget = Slots;
    service.version = 1;
    return service;
}

std::vector<Target> targetsOf(int count)
{
    std::vector<Target> targets;
    for (int number = 0; number < count; ++number) {
        Target target;
        target.name = TargetName("t" + std::to_string(number));
        target.service = ServiceName("proofroom");
        target.host = "127.0.0.1";
        target.port = static_cast<std::uint16_t>(21'000 + number);
        targets.push_back(target);
    }
    return targets;
}

std::vector<Row> oneRow()
{
    Row row;
    row.account = AccountName("shop");
    row.service = ServiceName("proofroom");
    return { row };
}

} // namespace

TEST_GROUP(ServiceState)
{
    Instant now { Seconds(1'000) };
    ServiceState state { ServiceName("proofroom"),
                         PeerId { VmName("p1"), 1 },
                         FailureDomain("d1"),
                         7,
                         [](Event, std::initializer_list<EventField>) {} };
    RequestId nextRequest = 1;
    int refused = 0;
    std::vector<Grant> delivered;

    void configure(int count)
    {
        deliverAll(state.configure(proofService(), targetsOf(count), oneRow(), now));
    }

    std::optional<AdmissionResult> admit(std::vector<TargetIndex> excluded = {})
    {
        Admission admission;
        admission.account = AccountName("shop");
        admission.idempotent = true;
        admission.deadline = now + Seconds(10);
        admission.excluded = std::move(excluded);
        const auto makeWaiter = [this] {
            return WaiterPtr(new Waiter([this](AdmissionResult admitted) {
                if (admitted) {
                    delivered.push_back(*admitted);
                } else {
                    ++refused;
                }
            }));
        };
        Deliveries otherDeliveries;
        const auto admitted = state.admit(nextRequest++, admission, makeWaiter, now, otherDeliveries);
        deliverAll(std::move(otherDeliveries));
        return admitted;
    }

    void finish(const Grant &grant)
    {
        FinishedAttempt finished;
        finished.latency = Millis(4);
        finished.slotTime = Millis(4);
        deliverAll(state.finish(grant, finished, now));
    }
};

// Guards against no-target errors for most requests when there are as many callers as free slots and no target has
// shed.
TEST(ServiceState, requestsBeyondTheCapacityOfTargetsInSlowStartAreQueued)
{
    configure(TargetCount - 1);
    deliverAll(state.tick(now));
    configure(TargetCount); // the sixth is added to a running process, so it is in slow start
    now += Millis(100);
    deliverAll(state.tick(now));
    std::vector<Grant> running;
    for (std::uint32_t request = 0; request < TargetCount * Slots; ++request) {
        const auto admitted = admit();
        CHECK_TRUE(!admitted || admitted->has_value());
        if (admitted) {
            running.push_back(**admitted);
        }
    }
    CHECK_TRUE(running.size() < TargetCount * Slots);
    for (const Grant &grant : running) {
        finish(grant);
    }
    LONGS_EQUAL(0, refused);
    LONGS_EQUAL(TargetCount * Slots, running.size() + delivered.size());
}

// Guards against holding a request until its deadline after it has failed at every target.
TEST(ServiceState, attemptThatExcludesEveryTargetIsRejectedImmediately)
{
    configure(2);
    const TargetIndex one = (*admit())->target;
    const TargetIndex other = (*admit({ one }))->target;
    const auto refusedAtOnce = admit({ one, other });
    CHECK_TRUE(refusedAtOnce.has_value());
    CHECK_FALSE(refusedAtOnce->has_value());
}

// Guards against rejecting a retry although another target becomes free shortly afterwards.
TEST(ServiceState, retryWaitsForATargetThatItDoesNotExclude)
{
    configure(2);
    std::vector<Grant> running;
    for (std::uint32_t request = 0; request < 2 * Slots; ++request) {
        running.push_back(**admit());
    }
    const TargetIndex failed = running.front().target;
    finish(running.front());
    CHECK_FALSE(admit({ failed }).has_value());
    LONGS_EQUAL(0, refused);
    for (const Grant &grant : running) {
        if (grant.target != failed) {
            finish(grant);
        }
    }
    LONGS_EQUAL(1, delivered.size());
    CHECK_TRUE(delivered.front().target != failed);
}
