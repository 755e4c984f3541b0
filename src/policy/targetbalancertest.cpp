#include "mulberryplank/policy/targetbalancer.h"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
const FailureDomain Here("here");
const FailureDomain There("there");

// A service of targets with four slots each that respond in 300 ms.
class Balanced
{
public:
    explicit Balanced(std::vector<FailureDomain> domains,
                      SuspicionHook suspicionChanged = {},
                      RestartHook restarted = {})
        : balancer(settings(), 7, std::move(suspicionChanged), std::move(restarted))
    {
        for (std::size_t index = 0; index < domains.size(); ++index) {
            ListedTarget listed;
            listed.target.id = name(index);
            listed.target.endpoint = { "10.0.0." + std::to_string(index + 1), 80 };
            listed.target.failureDomain = domains[index];
            listed.target.slots = 4;
            listed.lastHeartbeat = Start;
            targets.push_back(listed);
        }
        balancer.configure(targets);
        nonIdempotent.name = "once";
        nonIdempotent.kind = RouteKind::NonIdempotent;
        nonIdempotent.targetLatency = Millis(1'200);
        idempotent = nonIdempotent;
        idempotent.name = "idempotent";
        idempotent.kind = RouteKind::Idempotent;
        large = idempotent;
        large.name = "large";
        large.kind = RouteKind::LargeResponse;
    }

    static TargetName name(std::size_t index)
    {
        return TargetName("target-" + std::to_string(index));
    }

    static BalancerSettings settings()
    {
        BalancerSettings result;
        result.ownDomain = Here;
        return result;
    }

    void run(std::size_t index, const HostRoute &route, AttemptResult result, Instant now, std::size_t bytes = 400)
    {
        AttemptOutcome end;
        end.result = result;
        end.latency = Millis(300);
        end.responseBytes = bytes;
        balancer.begin(name(index), route, now);
        balancer.end(name(index), route, now, end, now);
    }

    // Returns how often each target is selected while no request is in progress.
    std::map<TargetName, int> choices(const HostRoute &route, Instant now, int times = 200)
    {
        std::map<TargetName, int> counts;
        for (int i = 0; i < times; ++i) {
            const auto chosen = balancer.choose({ &route, {}, {} }, now);
            ++counts[chosen ? chosen->id : TargetName()];
        }
        return counts;
    }

    std::vector<ListedTarget> targets;
    TargetBalancer balancer;
    HostRoute nonIdempotent;
    HostRoute idempotent;
    HostRoute large;
};

} // namespace

TEST_GROUP(TargetBalancer) {};

// Simulates 200 overlapping requests of 300 ms each, started at ten per second.
TEST(TargetBalancer, equalTargetsShareTheRequests)
{
    constexpr int Requests = 200;
    constexpr int InProgress = 3;
    Balanced service({ Here, Here, Here });
    std::vector<std::pair<TargetName, Instant>> begun;
    std::map<TargetName, int> counts;
    for (int i = 0; i < Requests; ++i) {
        const Instant now = Start + Millis(100) * i;
        if (i >= InProgress) {
            const auto &[id, started] = begun[static_cast<std::size_t>(i - InProgress)];
            AttemptOutcome end;
            end.latency = now - started;
            service.balancer.end(id, service.nonIdempotent, started, end, now);
        }
        const TargetName id = service.balancer.choose({ &service.nonIdempotent, {}, {} }, now)->id;
        service.balancer.begin(id, service.nonIdempotent, now);
        begun.emplace_back(id, now);
        ++counts[id];
    }
    CHECK_EQUAL(3, counts.size());
    for (const auto &[id, count] : counts) {
        CHECK_TRUE(count > 20);
    }
}

TEST(TargetBalancer, choosesNothingWithoutTargets)
{
    Balanced service({});
    CHECK_FALSE(service.balancer.choose({ &service.nonIdempotent, {}, {} }, Start).has_value());
}

TEST(TargetBalancer, drainingAndExcludedTargetsAreNeverChosen)
{
    Balanced service({ Here, Here, Here });
    service.targets[0].target.draining = true;
    service.balancer.configure(service.targets);
    const auto chosen = service.balancer.choose({ &service.nonIdempotent, { Balanced::name(1) }, {} }, Start);
    CHECK_TRUE(chosen->id == Balanced::name(2));
}

TEST(TargetBalancer, removedTargetIsNotChosenAgain)
{
    Balanced service({ Here, Here });
    service.balancer.markRemoved(Balanced::name(0));
    CHECK_EQUAL(0, service.choices(service.nonIdempotent, Start)[Balanced::name(0)]);
}

TEST(TargetBalancer, nonIdempotentRequestAvoidsATargetThatResetOne)
{
    Balanced service({ Here, Here });
    service.run(0, service.nonIdempotent, AttemptResult::Reset, Start);
    CHECK_EQUAL(0, service.choices(service.nonIdempotent, Start + Seconds(2))[Balanced::name(0)]);
}

TEST(TargetBalancer, failureLosesItsWeightOverTime)
{
    Balanced service({ Here, Here });
    service.run(0, service.nonIdempotent, AttemptResult::Reset, Start);
    CHECK_TRUE(service.choices(service.nonIdempotent, Start + Seconds(90))[Balanced::name(0)] > 20);
}

// Guards against lost capacity: all requests wait at one target although another is idle.
TEST(TargetBalancer, suspectedTargetIsUsedWhenTheOthersAreFull)
{
    Balanced service({ Here, Here });
    service.run(0, service.idempotent, AttemptResult::ServerError, Start);
    const Instant later = Start + Seconds(3);
    for (int i = 0; i < 12; ++i) {
        service.balancer.begin(Balanced::name(1), service.idempotent, later);
    }
    CHECK_TRUE(service.balancer.choose({ &service.idempotent, {}, {} }, later)->id == Balanced::name(0));
}

// Guards against a restarted target being avoided for failures of its previous instance, or counted as loaded forever.
TEST(TargetBalancer, RestartedTargetHasNoHistory)
{
    std::vector<Endpoint> restarted;
    Balanced service({ Here, Here }, {}, [&restarted](const Endpoint &endpoint) {
        restarted.push_back(endpoint);
    });
    service.run(0, service.nonIdempotent, AttemptResult::Reset, Start);
    service.balancer.begin(Balanced::name(0), service.nonIdempotent, Start);
    service.targets[0].target.startedMillis = 5;
    service.balancer.configure(service.targets);
    CHECK_EQUAL(1, restarted.size());
    CHECK_TRUE(restarted.front() == service.targets[0].target.endpoint);
    const std::vector<BalancedTarget> known = service.balancer.dump(Start);
    DOUBLES_EQUAL(known[0].risk, known[1].risk, 0.05);
    CHECK_EQUAL(0, known[0].inFlight + known[1].inFlight);
    AttemptOutcome end;
    end.result = AttemptResult::Timeout;
    CHECK_FALSE(service.balancer.end(Balanced::name(0), service.nonIdempotent, Start, end, Start).has_value());
}

TEST(TargetBalancer, leastLoadedTargetIsChosen)
{
    Balanced service({ Here, Here });
    service.balancer.begin(Balanced::name(0), service.nonIdempotent, Start);
    service.balancer.begin(Balanced::name(0), service.nonIdempotent, Start);
    CHECK_EQUAL(0, service.choices(service.nonIdempotent, Start)[Balanced::name(0)]);
}

TEST(TargetBalancer, loadOfOtherCallersCounts)
{
    Balanced service({ Here, Here });
    AttemptOutcome end;
    end.latency = Millis(300);
    end.load = ReportedLoad { 4, 3, 4 };
    service.balancer.begin(Balanced::name(0), service.nonIdempotent, Start);
    service.balancer.end(Balanced::name(0), service.nonIdempotent, Start, end, Start);
    CHECK_EQUAL(0, service.choices(service.nonIdempotent, Start)[Balanced::name(0)]);
}

// Guards against large request bodies crossing failure domains, where bytes are billed, because their responses are
// small.
TEST(TargetBalancer, largeRequestsStayInTheirDomain)
{
    Balanced service({ Here, There });
    service.run(0, service.nonIdempotent, AttemptResult::Success, Start);
    service.run(1, service.nonIdempotent, AttemptResult::Success, Start);
    for (int i = 0; i < 2; ++i) {
        service.balancer.begin(Balanced::name(0), service.nonIdempotent, Start);
    }
    TargetSelection selection { &service.nonIdempotent, {}, {}, false, 0 };
    STRCMP_EQUAL("target-1", service.balancer.choose(selection, Start)->id.value().c_str());
    selection.requestBytes = 90'000;
    STRCMP_EQUAL("target-0", service.balancer.choose(selection, Start)->id.value().c_str());
}

TEST(TargetBalancer, largeResponsesStayInTheirDomain)
{
    Balanced service({ Here, There });
    for (int i = 0; i < 5; ++i) {
        service.run(0, service.large, AttemptResult::Success, Start, 90'000);
    }
    service.balancer.begin(Balanced::name(0), service.large, Start);
    CHECK_EQUAL(0, service.choices(service.large, Start)[Balanced::name(1)]);
}

// Guards against sending non-idempotent requests one after the other to a target that doesn't respond to any of them.
TEST(TargetBalancer, pendingRequestsWithoutAResponseCount)
{
    Balanced service({ Here, Here });
    for (int i = 0; i < 30; ++i) {
        service.run(i % 2, service.nonIdempotent, AttemptResult::Success, Start);
    }
    const Instant later = Start + Millis(1'500);
    service.balancer.begin(Balanced::name(0), service.nonIdempotent, Start);
    service.balancer.begin(Balanced::name(1), service.nonIdempotent, later);
    service.balancer.begin(Balanced::name(1), service.nonIdempotent, later);
    CHECK_EQUAL(0, service.choices(service.nonIdempotent, later)[Balanced::name(0)]);
}

TEST(TargetBalancer, lateHeartbeatCountsOnlyWhileTheListIsFresh)
{
    Balanced service({ Here, Here });
    const Instant late = Start + Seconds(5);
    service.targets[1].lastHeartbeat = late;
    service.balancer.configure(service.targets);
    CHECK_TRUE(service.choices(service.nonIdempotent, late)[Balanced::name(0)] > 20);
    service.balancer.setListFresh(true);
    CHECK_EQUAL(0, service.choices(service.nonIdempotent, late)[Balanced::name(0)]);
}

TEST(TargetBalancer, evidenceOfOtherProxiesCounts)
{
    Balanced service({ Here, Here });
    const double reset = FaultModel::evidenceOf(AttemptResult::Reset).logRatio();
    service.balancer.addRemoteEvidence(Balanced::name(0), AttemptResult::Reset, reset, Start, Start);
    CHECK_EQUAL(0, service.choices(service.nonIdempotent, Start)[Balanced::name(0)]);
}

TEST(TargetBalancer, takeUpdatesReturnsEachUpdateOnce)
{
    Balanced service({ Here, Here });
    service.run(1, service.nonIdempotent, AttemptResult::Success, Start);
    const auto unreported = service.balancer.takeUpdates();
    CHECK_EQUAL(1, unreported.size());
    CHECK_TRUE(unreported.front().responded);
    CHECK_EQUAL(0, service.balancer.takeUpdates().size());
}

TEST(TargetBalancer, connectedTargetIsPreferredAmongEquals)
{
    Balanced service({ Here, Here });
    const Endpoint connected = service.targets[1].target.endpoint;
    const TargetSelection selection { &service.nonIdempotent, {}, [&connected](const Endpoint &endpoint) {
                                         return endpoint == connected;
                                     } };
    for (int i = 0; i < 50; ++i) {
        CHECK_TRUE(service.balancer.choose(selection, Start)->id == Balanced::name(1));
    }
}

TEST(TargetBalancer, latencyQuantileNeedsEnoughResponses)
{
    Balanced service({ Here });
    CHECK_FALSE(service.balancer.latencyQuantile(service.nonIdempotent, 0.5).has_value());
    for (int i = 0; i < 30; ++i) {
        service.run(0, service.nonIdempotent, AttemptResult::Success, Start);
    }
    const Duration median = *service.balancer.latencyQuantile(service.nonIdempotent, 0.5);
    CHECK_TRUE(median > Millis(200) && median < Millis(400));
}

// Guards against sending most of a service's requests to a few targets while healthy ones stay idle for seconds.
TEST(TargetBalancer, unusedTargetsAreUsedInTurnWhenMostAreUnused)
{
    Balanced service(std::vector<FailureDomain>(10, Here));
    for (std::size_t index = 2; index < 10; ++index) {
        service.run(index, service.nonIdempotent, AttemptResult::Reset, Start);
    }
    const Instant later = Start + Seconds(2);
    service.run(0, service.nonIdempotent, AttemptResult::Success, later);
    service.run(1, service.nonIdempotent, AttemptResult::Success, later);
    std::set<TargetName> used;
    for (int i = 0; i < 40; ++i) {
        const std::optional<ChosenTarget> chosen = service.balancer.choose({ &service.nonIdempotent, {}, {} }, later);
        service.balancer.begin(chosen->id, service.nonIdempotent, later);
        used.insert(chosen->id);
    }
    CHECK_TRUE(used.size() >= 7);
}

// Guards against losing non-idempotent requests to targets that have just failed, while others failed long ago.
TEST(TargetBalancer, targetThatFailedLongestAgoIsTriedFirst)
{
    Balanced service(std::vector<FailureDomain>(10, Here));
    for (std::size_t index = 2; index < 10; ++index) {
        service.run(index, service.nonIdempotent, AttemptResult::Reset, Start - Seconds(static_cast<int>(index)));
    }
    const Instant later = Start + Seconds(2);
    service.run(0, service.nonIdempotent, AttemptResult::Success, later);
    service.run(1, service.nonIdempotent, AttemptResult::Success, later);
    std::map<TargetName, int> chosen = service.choices(service.nonIdempotent, later);
    chosen.erase(Balanced::name(0));
    chosen.erase(Balanced::name(1));
    CHECK_EQUAL(1, chosen.size());
    CHECK_TRUE(chosen.contains(Balanced::name(9)));
}

// Guards against healthy targets staying unused for two seconds while nearly all others are faulty.
TEST(TargetBalancer, earlierFailedTargetsAreUsedWhenMostAreFaulty)
{
    constexpr std::size_t Faulty = 20;
    Balanced service(std::vector<FailureDomain>(Faulty + 4, Here));
    const Instant later = Start + Seconds(4);
    for (std::size_t index = 0; index < 3; ++index) {
        service.run(index, service.nonIdempotent, AttemptResult::Reset, Start);
    }
    for (int round = 0; round < 3; ++round) {
        for (std::size_t index = 3; index < Faulty + 3; ++index) {
            service.run(index, service.nonIdempotent, AttemptResult::Reset, later);
        }
    }
    service.run(Faulty + 3, service.nonIdempotent, AttemptResult::Success, later);
    std::set<TargetName> used;
    for (int i = 0; i < 40; ++i) {
        const std::optional<ChosenTarget> chosen = service.balancer.choose({ &service.nonIdempotent, {}, {} }, later);
        service.balancer.begin(chosen->id, service.nonIdempotent, later);
        used.insert(chosen->id);
    }
    CHECK_TRUE(used.contains(Balanced::name(0)) && used.contains(Balanced::name(1))
               && used.contains(Balanced::name(2)));
}

// Guards against losing non-idempotent requests to targets that have just failed one, while nearly all targets are
// healthy. Such targets can cause a third of the lost requests.
TEST(TargetBalancer, recentlyFailedTargetsAreAvoidedWhenMostAreHealthy)
{
    constexpr std::size_t Targets = 34;
    constexpr std::size_t Faulty = 7;
    Balanced service(std::vector<FailureDomain>(Targets, Here));
    const Instant later = Start + Millis(1'700);
    for (std::size_t index = 0; index < Targets; ++index) {
        const bool faulty = index < Faulty;
        service.run(index,
                    service.nonIdempotent,
                    faulty ? AttemptResult::Reset : AttemptResult::Success,
                    faulty ? Start : later);
    }
    const std::map<TargetName, int> chosen = service.choices(service.nonIdempotent, later);
    for (std::size_t index = 0; index < Faulty; ++index) {
        CHECK_FALSE(chosen.contains(Balanced::name(index)));
    }
}

TEST(TargetBalancer, fewUnusedSuspectedTargetsAreAvoided)
{
    Balanced service(std::vector<FailureDomain>(10, Here));
    for (std::size_t index = 0; index < 2; ++index) {
        service.run(index, service.nonIdempotent, AttemptResult::Reset, Start);
    }
    const Instant later = Start + Seconds(2);
    for (std::size_t index = 2; index < 10; ++index) {
        service.run(index, service.nonIdempotent, AttemptResult::Success, later);
    }
    const std::map<TargetName, int> chosen = service.choices(service.nonIdempotent, later);
    CHECK_FALSE(chosen.contains(Balanced::name(0)) || chosen.contains(Balanced::name(1)));
}

// Operators need to know when a target became suspected, to explain why a request avoided it or didn't.
TEST(TargetBalancer, ReportsEachSuspicionChangeOnce)
{
    std::vector<SuspicionChange> changes;
    Balanced balanced({ Here, Here }, [&changes](const SuspicionChange &change) {
        changes.push_back(change);
    });
    Instant now = Start;
    for (int i = 0; i < 3; ++i) {
        balanced.run(0, balanced.nonIdempotent, AttemptResult::Reset, now += Millis(10));
    }
    LONGS_EQUAL(1, changes.size());
    CHECK(changes[0].suspected);
    STRCMP_EQUAL("target-0", changes[0].id.value().c_str());
    for (int i = 0; i < 10; ++i) {
        balanced.run(0, balanced.nonIdempotent, AttemptResult::Success, now += Millis(10));
    }
    LONGS_EQUAL(2, changes.size());
    CHECK_FALSE(changes[1].suspected);
    CHECK(changes[1].evidence == AttemptResult::Success);
}

// Guards against a download that fails at one target and then at another whose risk was known to be high.
TEST(TargetBalancer, TheLastAttemptUsesTheTargetWithTheLowestRisk)
{
    Balanced balanced({ Here, There });
    Instant now = Start;
    for (int i = 0; i < 10; ++i) {
        balanced.run(0, balanced.large, AttemptResult::Success, now, 60'000);
        balanced.run(1, balanced.large, AttemptResult::Success, now, 60'000);
    }
    for (int i = 0; i < 2; ++i) {
        balanced.run(0, balanced.large, AttemptResult::ServerError, now += Millis(10));
    }
    TargetSelection first { &balanced.large, {}, {} };
    TargetSelection last = first;
    last.isLast = true;
    STRCMP_EQUAL("target-0", balanced.balancer.choose(first, now)->id.value().c_str());
    STRCMP_EQUAL("target-1", balanced.balancer.choose(last, now)->id.value().c_str());
}

// Guards against losing a read whose second attempt, its last, tests a target that is believed to be faulty.
TEST(TargetBalancer, theLastAttemptOfAnIdempotentRequestTestsNoUnusedTarget)
{
    constexpr std::size_t Targets = 10;
    Balanced balanced(std::vector<FailureDomain>(Targets, Here));
    for (std::size_t index = 1; index < Targets; ++index) {
        balanced.run(index, balanced.idempotent, AttemptResult::Reset, Start);
    }
    const Instant now = Start + Seconds(2);
    balanced.run(0, balanced.idempotent, AttemptResult::Success, now);
    TargetSelection last { &balanced.idempotent, {}, {} };
    last.isLast = true;
    for (int i = 0; i < 200; ++i) {
        const std::optional<ChosenTarget> chosen = balanced.balancer.choose(last, now);
        STRCMP_EQUAL("target-0", chosen->id.value().c_str());
        CHECK_FALSE(chosen->wasUnused);
    }
}

// Guards against a trial at a second target, after the first one has failed.
TEST(TargetBalancer, onlyFirstAttemptsOfIdempotentRequestsTestUnusedTargets)
{
    constexpr std::size_t Targets = 10;
    Balanced balanced(std::vector<FailureDomain>(Targets, Here));
    for (std::size_t index = 2; index < Targets; ++index) {
        balanced.run(index, balanced.idempotent, AttemptResult::Reset, Start);
    }
    const Instant now = Start + Seconds(3);
    balanced.run(0, balanced.idempotent, AttemptResult::Success, now);
    balanced.run(1, balanced.idempotent, AttemptResult::Success, now);
    int trials = 0;
    for (int i = 0; i < 200; ++i) {
        trials += balanced.balancer.choose({ &balanced.idempotent, {}, {} }, now)->wasUnused ? 1 : 0;
        const TargetSelection second { &balanced.idempotent, { Balanced::name(1) }, {} };
        STRCMP_EQUAL("target-0", balanced.balancer.choose(second, now)->id.value().c_str());
    }
    CHECK(trials > 0);
    CHECK_EQUAL(trials, balanced.balancer.trialCounts().doubtful);
}

// Guards against losing non-idempotent requests to targets that idempotent ones will test soon.
TEST(TargetBalancer, idempotentRequestsSpareOthersTheTrials)
{
    constexpr std::size_t Targets = 80;
    constexpr std::size_t Faulty = 30;
    Balanced balanced(std::vector<FailureDomain>(Targets, Here));
    const Instant now = Start + Seconds(3);
    for (std::size_t index = 0; index < Targets; ++index) {
        const bool faulty = index < Faulty;
        balanced.run(
            index, balanced.idempotent, faulty ? AttemptResult::Reset : AttemptResult::Success, faulty ? Start : now);
    }
    const auto countUnused = [&balanced, now] {
        int unused = 0;
        for (int i = 0; i < 200; ++i) {
            unused += balanced.balancer.choose({ &balanced.nonIdempotent, {}, {} }, now)->wasUnused ? 1 : 0;
        }
        return unused;
    };
    CHECK(countUnused() > 0);
    for (int i = 0; i < 40; ++i) {
        // Many of them are repeated, so that the failures above aren't losses.
        balanced.balancer.choose({ &balanced.idempotent, {}, {} }, now);
        balanced.balancer.choose({ &balanced.idempotent, { Balanced::name(0) }, {} }, now);
    }
    CHECK_EQUAL(0, countUnused());
}

// Guards against targets that reset requests receiving one every few seconds, each of which is lost.
TEST(TargetBalancer, unusedSuspectedTargetsGetNoNonIdempotentRequests)
{
    constexpr std::size_t Targets = 10;
    constexpr std::size_t Suspects = 4;
    Balanced balanced(std::vector<FailureDomain>(Targets, Here));
    Instant now = Start;
    for (std::size_t index = 0; index < Suspects; ++index) {
        balanced.run(index, balanced.nonIdempotent, AttemptResult::Reset, now);
    }
    now += Millis(1'700);
    const auto chosen = balanced.choices(balanced.nonIdempotent, now);
    for (std::size_t index = 0; index < Suspects; ++index) {
        CHECK_FALSE(chosen.contains(Balanced::name(index)));
    }
    CHECK_EQUAL(Targets - Suspects, chosen.size());
}

// Guards against a third of the healthy targets staying unused for two seconds while many of a service's requests fail.
TEST(TargetBalancer, riskyTargetsAreTriedWhenManyAreUnused)
{
    Balanced balanced(std::vector<FailureDomain>(10, Here));
    for (std::size_t index = 0; index < 4; ++index) {
        balanced.run(index, balanced.nonIdempotent, AttemptResult::Reset, Start);
    }
    for (std::size_t index = 4; index < 10; ++index) {
        balanced.run(index, balanced.nonIdempotent, AttemptResult::Success, Start + Millis(1'600));
    }
    const Instant now = Start + Millis(1'700);
    const auto chosen = balanced.choices(balanced.nonIdempotent, now);
    CHECK(chosen.contains(Balanced::name(0)) || chosen.contains(Balanced::name(1)) || chosen.contains(Balanced::name(2))
          || chosen.contains(Balanced::name(3)));
}

namespace
{

// Two targets with recorded responses of 300 ms on each route.
struct RespondingService : Balanced {
    RespondingService()
        : Balanced({ Here, Here })
    {
        for (std::size_t i = 0; i < 60; ++i) {
            run(i % 2, nonIdempotent, AttemptResult::Success, Start);
            run(i % 2, idempotent, AttemptResult::Success, Start);
        }
    }

    double riskOf(std::size_t index, Instant now) const
    {
        for (const BalancedTarget &target : balancer.dump(now)) {
            if (target.target.id == name(index)) {
                return target.risk;
            }
        }
        return -1;
    }
};

} // namespace

// Guards against several proxies losing requests one after the other to a target that hangs, each up to the request's
// deadline.
TEST(TargetBalancer, AMissingResponseIsReportedBeforeTheAttemptEnds)
{
    RespondingService one;
    RespondingService other;
    one.balancer.begin(Balanced::name(0), one.nonIdempotent, Start);
    std::optional<Instant> due = one.balancer.nextNoResponseReport(Balanced::name(0), Start);
    while (due) {
        CHECK(*due < Start + Millis(600));
        const std::optional<double> unreported =
            one.balancer.takeNoResponseEvidence(Balanced::name(0), Start, Start + Millis(600));
        other.balancer.addRemoteEvidence(
            Balanced::name(0), AttemptResult::Timeout, unreported.value_or(0), Start, Start + Millis(600));
        due = one.balancer.nextNoResponseReport(Balanced::name(0), Start);
    }
    CHECK(other.riskOf(0, Start + Millis(600)) > 10 * other.riskOf(1, Start + Millis(600)));
    CHECK_EQUAL(0, other.choices(other.nonIdempotent, Start + Millis(600))[Balanced::name(0)]);
}

TEST(TargetBalancer, AResponseAfterANoResponseReportIsReportedImmediately)
{
    RespondingService service;
    service.balancer.begin(Balanced::name(0), service.nonIdempotent, Start);
    const Instant later = Start + Millis(600);
    const std::optional<double> noResponse = service.balancer.takeNoResponseEvidence(Balanced::name(0), Start, later);
    AttemptOutcome end;
    end.latency = Millis(600);
    const std::optional<double> response =
        service.balancer.end(Balanced::name(0), service.nonIdempotent, Start, end, later);
    CHECK(noResponse && response);
    DOUBLES_EQUAL(FaultModel::evidenceOf(AttemptResult::Success).logRatio(), *noResponse + *response, 1e-9);
}

// Guards against selecting the same target again right after a hedge rescued a request from it.
TEST(TargetBalancer, AnAttemptThatLostToItsHedgeRaisesTheRisk)
{
    RespondingService service;
    service.balancer.begin(Balanced::name(0), service.idempotent, Start);
    const Instant later = Start + Millis(900);
    AttemptOutcome end;
    end.result = AttemptResult::Cancelled;
    CHECK(service.balancer.end(Balanced::name(0), service.idempotent, Start, end, later).has_value());
    CHECK(service.riskOf(0, later) > 10 * service.riskOf(1, later));
}

TEST(TargetBalancer, ALateHeartbeatIsIgnoredAfterARecentResponse)
{
    Balanced service({ Here });
    service.balancer.setListFresh(true);
    const Instant late = Start + Seconds(5);
    service.run(0, service.nonIdempotent, AttemptResult::Success, late);
    CHECK(service.balancer.dump(late).front().risk < 0.1);
}

// Guards against healthy targets staying unused for two seconds while a tenth of a service's requests fail.
TEST(TargetBalancer, NonIdempotentRequestsUseUnusedHealthyTargets)
{
    Balanced service(std::vector<FailureDomain>(8, Here));
    Instant now = Start + Seconds(2);
    const Endpoint connected = service.targets[0].target.endpoint;
    TargetSelection selection { &service.nonIdempotent, {}, [&connected](const Endpoint &endpoint) {
                                   return endpoint == connected;
                               } };
    std::map<TargetName, int> counts;
    for (int i = 0; i < 80; ++i) {
        const std::optional<ChosenTarget> chosen = service.balancer.choose(selection, now);
        ++counts[chosen->id];
        service.balancer.begin(chosen->id, service.nonIdempotent, now);
        service.balancer.end(chosen->id, service.nonIdempotent, now, AttemptOutcome {}, now);
        now += Millis(20);
    }
    CHECK_EQUAL(8, counts.size());
}

// Guards against a target in need that gets several times the requests that it asks for.
TEST(TargetBalancer, targetGetsNoMoreRequestsThanItsRateLimit)
{
    constexpr Duration Interval = Millis(25); // between requests
    constexpr Duration Window = Seconds(4);
    for (const double limit : { 0.05, 0.3, 1.0, 3.7, 20.0 }) {
        Balanced service({ Here, Here, Here });
        service.balancer.noteRateLimit(Balanced::name(0), { limit, Start }, Start);
        std::vector<Instant> arrivals;
        for (Instant now = Start; now < Start + Seconds(40); now += Interval) {
            const auto chosen = service.balancer.choose({ &service.idempotent, {}, {} }, now);
            service.run(chosen->id == Balanced::name(0) ? 0 : 1, service.idempotent, AttemptResult::Success, now);
            if (chosen->id == Balanced::name(0)) {
                arrivals.push_back(now);
            }
            const auto inWindow =
                std::count_if(arrivals.begin(), arrivals.end(), [begin = now - Window](Instant arrival) {
                    return arrival > begin;
                });
            CHECK_TRUE(static_cast<double>(inWindow) <= 1 + limit * toSeconds(Window) * 1.25);
        }
    }
}

// Guards against a target that has asked for rest getting requests because it is unused, preferred or the only one
// left.
TEST(TargetBalancer, restingTargetIsNotChosenUntilItsRestEnds)
{
    Balanced service({ Here, There, There });
    const Instant until = Start + Seconds(3);
    CHECK_TRUE(service.balancer.noteRest(Balanced::name(0), until));
    for (const HostRoute &route : { service.nonIdempotent, service.idempotent, service.large }) {
        CHECK_EQUAL(0, service.choices(route, until - Millis(1)).count(Balanced::name(0)));
        CHECK_TRUE(service.choices(route, until).contains(Balanced::name(0)));
    }
    const std::vector<TargetName> others { Balanced::name(1), Balanced::name(2) };
    CHECK_FALSE(service.balancer.choose({ &service.idempotent, others, {}, true }, Start).has_value());
}

TEST(TargetBalancer, longestOfSeveralRestsHolds)
{
    Balanced service({ Here });
    CHECK_TRUE(service.balancer.noteRest(Balanced::name(0), Start + Seconds(3)));
    CHECK_FALSE(service.balancer.noteRest(Balanced::name(0), Start + Seconds(1)));
    CHECK_FALSE(service.balancer.choose({ &service.idempotent, {}, {} }, Start + Seconds(2)).has_value());
}

TEST(TargetBalancer, restIsNoEvidenceOfAFault)
{
    Balanced service({ Here, Here });
    const double before = service.balancer.dump(Start)[0].risk;
    service.balancer.noteRest(Balanced::name(0), Start + Seconds(3));
    service.balancer.noteRest(Balanced::name(1), Start + Seconds(3));
    DOUBLES_EQUAL(before, service.balancer.dump(Start + Seconds(1))[0].risk, 0);
    DOUBLES_EQUAL(before, service.balancer.dump(Start + Seconds(1))[1].risk, 0);
}

TEST(TargetBalancer, restLeftIsThatOfTheFirstTargetToReturn)
{
    Balanced service({ Here, Here, Here });
    service.balancer.markRemoved(Balanced::name(2));
    service.balancer.noteRest(Balanced::name(0), Start + Seconds(3));
    CHECK_FALSE(service.balancer.restLeft(Start).has_value());
    service.balancer.noteRest(Balanced::name(1), Start + Seconds(2));
    CHECK_TRUE(service.balancer.restLeft(Start + Seconds(1)) == Duration(Seconds(1)));
    CHECK_FALSE(service.balancer.restLeft(Start + Seconds(2)).has_value());
}

// Guards against a list that is read after the response bringing back a target that has said that it leaves.
TEST(TargetBalancer, targetThatSaidThatItLeavesIsNeverChosenAgain)
{
    Balanced service({ Here, Here });
    CHECK_TRUE(service.balancer.noteLeaving(Balanced::name(0)));
    CHECK_FALSE(service.balancer.noteLeaving(Balanced::name(0)));
    service.balancer.configure(service.targets);
    CHECK_EQUAL(0, service.choices(service.idempotent, Start + Seconds(30)).count(Balanced::name(0)));
    CHECK_TRUE(service.balancer.isLeaving(Balanced::name(0)));
    CHECK_EQUAL(1, service.balancer.counts().draining);
}

TEST(TargetBalancer, restartedTargetNeitherRestsNorLeaves)
{
    Balanced service({ Here });
    service.balancer.noteRest(Balanced::name(0), Start + Seconds(60));
    service.balancer.noteLeaving(Balanced::name(0));
    service.targets[0].target.startedMillis += 1;
    service.balancer.configure(service.targets);
    CHECK_TRUE(service.balancer.choose({ &service.idempotent, {}, {} }, Start).has_value());
}
