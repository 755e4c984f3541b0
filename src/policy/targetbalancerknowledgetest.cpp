#include "mulberryplank/policy/targetbalancer.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr std::size_t Targets = 6;

TargetName name(std::size_t index)
{
    return TargetName("target-" + std::to_string(index));
}

HostRoute idempotentRoute()
{
    HostRoute route;
    route.name = "reads";
    route.kind = RouteKind::Idempotent;
    route.targetLatency = Millis(1'200);
    return route;
}

TargetBalancer balancerOf(std::uint64_t seed)
{
    TargetBalancer balancer(BalancerSettings {}, seed);
    std::vector<ListedTarget> targets;
    for (std::size_t index = 0; index < Targets; ++index) {
        ListedTarget listed;
        listed.target.id = name(index);
        listed.target.endpoint = { "10.0.0." + std::to_string(index + 1), 80 };
        listed.target.slots = 4;
        listed.lastHeartbeat = Start;
        targets.push_back(listed);
    }
    balancer.configure(targets);
    return balancer;
}

// Lets the balancer see a response of a target that reports that many requests.
void respond(TargetBalancer &balancer, std::size_t index, AttemptResult result, std::uint32_t running, Instant now)
{
    const HostRoute route = idempotentRoute();
    AttemptOutcome end;
    end.result = result;
    end.latency = Millis(300);
    end.load = ReportedLoad { running, 0, 4 };
    balancer.begin(name(index), route, now);
    balancer.end(name(index), route, now, end, now);
}

// Returns the number of requests, of a hundred, that the balancer sends to that target.
int choicesOf(TargetBalancer &balancer, std::size_t index, Instant now)
{
    const HostRoute route = idempotentRoute();
    int count = 0;
    for (int request = 0; request < 100; ++request) {
        count += balancer.choose({ &route, {}, {} }, now)->id == name(index) ? 1 : 0;
    }
    return count;
}

void learnAll(TargetBalancer &learner, const TargetBalancer &teacher, Instant now)
{
    for (const TargetKnowledge &known : teacher.knowledge(Targets, now)) {
        learner.learn(known, now);
    }
}

} // namespace

TEST_GROUP(TargetKnowledge) {};

// Guards against gateways without callers of their own that send their few requests to full targets only.
TEST(TargetKnowledge, processThatHasSentNothingUsesTheTargetThatOthersKnowToBeFree)
{
    TargetBalancer ingress = balancerOf(1);
    for (std::size_t index = 0; index < Targets; ++index) {
        respond(ingress, index, AttemptResult::Success, index == 2 ? 0 : 28, Start);
    }
    TargetBalancer other = balancerOf(2);
    CHECK_TRUE(choicesOf(other, 2, Start) < 60);
    learnAll(other, ingress, Start);
    CHECK_TRUE(choicesOf(other, 2, Start) >= 95);
}

TEST(TargetKnowledge, processThatHasSentNothingAvoidsTargetsThatOthersKnowToBeFaulty)
{
    TargetBalancer ingress = balancerOf(1);
    for (std::size_t index = 0; index < Targets; ++index) {
        const AttemptResult result = index == 2 ? AttemptResult::Reset : AttemptResult::Success;
        respond(ingress, index, result, 1, Start);
        respond(ingress, index, result, 1, Start);
    }
    TargetBalancer other = balancerOf(2);
    learnAll(other, ingress, Start);
    CHECK_EQUAL(0, choicesOf(other, 2, Start));
}

// Guards against knowledge of others that hides what this process has just seen.
TEST(TargetKnowledge, ownObservationsCountMore)
{
    TargetBalancer ingress = balancerOf(1);
    TargetBalancer other = balancerOf(2);
    for (std::size_t index = 0; index < Targets; ++index) {
        respond(ingress, index, AttemptResult::Success, 0, Start);
        respond(other, index, AttemptResult::Success, index == 2 ? 28 : 0, Start);
    }
    learnAll(other, ingress, Start);
    CHECK_EQUAL(0, choicesOf(other, 2, Start));
}

TEST(TargetKnowledge, ofManyTargetsTheLikeliestToServeAreTold)
{
    TargetBalancer ingress = balancerOf(1);
    for (std::size_t index = 0; index < Targets; ++index) {
        respond(ingress, index, AttemptResult::Success, static_cast<std::uint32_t>(4 * index), Start);
    }
    const std::vector<TargetKnowledge> known = ingress.knowledge(2, Start);
    CHECK_EQUAL(2, known.size());
    CHECK_TRUE(known[0].id == name(0));
    CHECK_TRUE(known[1].id == name(1));
}

TEST(TargetKnowledge, unknownTargetIsIgnored)
{
    TargetBalancer other = balancerOf(2);
    other.learn({ TargetName("another"), 0.5, 1, Start }, Start);
    CHECK_EQUAL(Targets, other.dump(Start).size());
}
