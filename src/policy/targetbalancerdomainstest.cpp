#include <map>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/policy/targetbalancer.h"

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
const FailureDomain Here("here");
const FailureDomain There("there");

// A service of targets with two slots in two domains, seen by a process in the first one.
class TwoDomains
{
public:
    explicit TwoDomains(std::size_t here, std::size_t there = 12, double stayShare = 0.25)
        : balancer(settings(stayShare), 7)
    {
        addTargets("h", here, Here);
        addTargets("t", there, There);
        balancer.configure(targets);
        balancer.setDomainsWithProxies({ Here, There });
        route.name = "route";
        route.kind = RouteKind::NonIdempotent;
        route.targetLatency = Millis(600);
    }

    // Returns which share of requests that aren't in progress at the same time leave the domain.
    double shareLeaving(std::vector<TargetName> excluded = {}, int times = 400)
    {
        reasons.clear();
        int leaving = 0;
        for (int i = 0; i < times; ++i) {
            const auto chosen = balancer.choose({ &route, excluded, {} }, now);
            CHECK_TRUE(chosen.has_value());
            leaving += chosen->leavesDomain ? 1 : 0;
            if (chosen->reason) {
                ++reasons[*chosen->reason];
            }
        }
        return static_cast<double>(leaving) / times;
    }

    std::vector<TargetName> namesIn(const FailureDomain &domain) const
    {
        std::vector<TargetName> names;
        for (const ListedTarget &listed : targets) {
            if (listed.target.failureDomain == domain) {
                names.push_back(listed.target.id);
            }
        }
        return names;
    }

    // Starts `count` requests at each target of the domain.
    void load(const FailureDomain &domain, int count)
    {
        for (const TargetName &id : namesIn(domain)) {
            for (int i = 0; i < count; ++i) {
                balancer.begin(id, route, now);
            }
        }
    }

    void useAll()
    {
        for (const ListedTarget &listed : targets) {
            complete(listed.target.id, AttemptResult::Success);
        }
    }

    void complete(const TargetName &id, AttemptResult result)
    {
        AttemptOutcome end;
        end.result = result;
        end.latency = Millis(180);
        end.responseBytes = 1'000;
        balancer.begin(id, route, now);
        balancer.end(id, route, now, end, now);
    }

    std::vector<ListedTarget> targets;
    TargetBalancer balancer;
    HostRoute route;
    std::map<SpillReason, int> reasons;
    Instant now = Start;

private:
    static BalancerSettings settings(double stayShare)
    {
        BalancerSettings result;
        result.ownDomain = Here;
        result.stayShare = stayShare;
        return result;
    }

    void addTargets(const std::string &prefix, std::size_t count, const FailureDomain &domain)
    {
        for (std::size_t index = 0; index < count; ++index) {
            ListedTarget listed;
            listed.target.id = TargetName(prefix + std::to_string(index));
            listed.target.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(targets.size() + 1) };
            listed.target.failureDomain = domain;
            listed.target.slots = 2;
            listed.lastHeartbeat = Start;
            targets.push_back(listed);
        }
    }
};

} // namespace

TEST_GROUP(TargetBalancerDomains) {};

// Guards against random offsets, the preference for unused targets and new connections that send requests away.
TEST(TargetBalancerDomains, requestsStayWhileTheDomainIsAsGoodAsOthers)
{
    TwoDomains service(12);
    DOUBLES_EQUAL(0, service.shareLeaving(), 0);
    service.useAll();
    DOUBLES_EQUAL(0, service.shareLeaving(), 0);
}

TEST(TargetBalancerDomains, settingOfZeroLeavesTheChoiceToTheCosts)
{
    TwoDomains service(12, 12, 0);
    CHECK_TRUE(service.shareLeaving() > 0.1);
    CHECK_TRUE(service.reasons.empty());
}

TEST(TargetBalancerDomains, smallDomainIsBalancedWithTheOthers)
{
    TwoDomains service(MinDomainTargets - 1);
    CHECK_TRUE(service.shareLeaving() > 0.1);
}

// Guards against a domain that counts as large enough by targets that leave.
TEST(TargetBalancerDomains, leavingTargetsDoNotCountForTheSizeOfADomain)
{
    TwoDomains service(MinDomainTargets);
    DOUBLES_EQUAL(0, service.shareLeaving(), 0);
    service.balancer.noteLeaving(service.namesIn(Here).front());
    CHECK_TRUE(service.shareLeaving() > 0.1);
}

TEST(TargetBalancerDomains, domainWithoutAProxyBindsNoRequest)
{
    TwoDomains service(12);
    service.balancer.setDomainsWithProxies({ There });
    CHECK_TRUE(service.shareLeaving() > 0.1);
}

// Guards against targets that nobody uses after all gateways of their domain were killed.
TEST(TargetBalancerDomains, targetsOfADomainWithoutAProxyAreUsed)
{
    TwoDomains service(12);
    service.balancer.setDomainsWithProxies({ Here });
    CHECK_TRUE(service.shareLeaving() > 0.1);
}

TEST(TargetBalancerDomains, requestsLeaveADomainWithoutAUsableTarget)
{
    TwoDomains service(12);
    for (const TargetName &id : service.namesIn(Here)) {
        service.balancer.noteRest(id, Start + Seconds(1));
    }
    DOUBLES_EQUAL(1, service.shareLeaving(), 0);
    CHECK_EQUAL(400, service.reasons[SpillReason::NoUsableTarget]);
}

// Guards against a request that fails because every target of its domain was tried.
TEST(TargetBalancerDomains, laterAttemptsLeaveOnlyIfTheDomainHasNoOtherTarget)
{
    TwoDomains service(12);
    std::vector<TargetName> tried = service.namesIn(Here);
    const TargetName last = tried.back();
    tried.pop_back();
    DOUBLES_EQUAL(0, service.shareLeaving(tried), 0);
    tried.push_back(last);
    DOUBLES_EQUAL(1, service.shareLeaving(tried), 0);
}

TEST(TargetBalancerDomains, requestsLeaveADomainWithLongQueues)
{
    TwoDomains service(12);
    service.useAll();
    service.load(Here, 2);
    DOUBLES_EQUAL(0, service.shareLeaving(), 0);
    service.load(Here, 4);
    DOUBLES_EQUAL(1, service.shareLeaving(), 0);
}

TEST(TargetBalancerDomains, requestsLeaveADomainOfFaultyTargets)
{
    TwoDomains service(12);
    service.useAll();
    service.now += Millis(100);
    for (int i = 0; i < 3; ++i) {
        for (const TargetName &id : service.namesIn(Here)) {
            service.complete(id, AttemptResult::Reset);
        }
        for (const TargetName &id : service.namesIn(There)) {
            service.complete(id, AttemptResult::Success);
        }
    }
    CHECK_TRUE(service.shareLeaving() > 0.7);
    CHECK_TRUE(service.reasons[SpillReason::Riskier] > 0);
}

// Guards against processes of one domain that try the unused targets of another one, whose own proxies try them.
TEST(TargetBalancerDomains, unusedTargetsElsewhereAreLeftToTheProxiesThere)
{
    TwoDomains service(12);
    service.route.kind = RouteKind::Idempotent;
    service.useAll();
    service.now += Seconds(10);
    for (const TargetName &id : service.namesIn(Here)) {
        service.complete(id, AttemptResult::Success);
    }
    DOUBLES_EQUAL(0, service.shareLeaving(), 0);
}

TEST(TargetBalancerDomains, choicesRepeatWithTheSeed)
{
    TwoDomains one(12);
    TwoDomains other(12);
    for (int i = 0; i < 100; ++i) {
        const TargetName id = one.balancer.choose({ &one.route, {}, {} }, one.now)->id;
        CHECK_TRUE(id == other.balancer.choose({ &other.route, {}, {} }, other.now)->id);
        one.balancer.begin(id, one.route, one.now);
        other.balancer.begin(id, other.route, other.now);
    }
}

TEST(TargetBalancerDomains, agreedShareOfTheDemandLeaves)
{
    TwoDomains service(12);
    service.useAll();
    service.shareLeaving({}, 1); // the route's demand
    service.balancer.setAgreedShare({ 0.4, { { There, 1 } } }, { { There, { There, 1, 24 } } }, service.now);
    DOUBLES_EQUAL(0.4, service.shareLeaving({}, 1'000), 0.06);
    CHECK_TRUE(service.reasons[SpillReason::AgreedShare] > 0);
}

// Guards against an agreed share that sends requests over a link that is cut or lossy.
TEST(TargetBalancerDomains, agreedShareStaysIfTheOtherDomainIsFaulty)
{
    TwoDomains service(12);
    service.useAll();
    service.shareLeaving({}, 1);
    for (int i = 0; i < 4; ++i) {
        for (const TargetName &id : service.namesIn(There)) {
            service.complete(id, AttemptResult::Reset);
        }
        for (const TargetName &id : service.namesIn(Here)) {
            service.complete(id, AttemptResult::Success);
        }
    }
    service.balancer.setAgreedShare({ 1, { { There, 1 } } }, { { There, { There, 1, 24 } } }, service.now);
    DOUBLES_EQUAL(0, service.shareLeaving(), 0);
}

// Guards against requests that leave for a full domain, whose load this process doesn't know from its own requests.
TEST(TargetBalancerDomains, requestsStayIfTheOtherDomainReportsThatItIsFull)
{
    TwoDomains service(12);
    service.useAll();
    service.load(Here, 6);
    DOUBLES_EQUAL(1, service.shareLeaving(), 0);
    service.balancer.setAgreedShare({}, { { There, { There, 30, 24 } } }, service.now);
    DOUBLES_EQUAL(0, service.shareLeaving(), 0);
}

TEST(TargetBalancerDomains, demandCountsRequestsNotAttempts)
{
    TwoDomains service(12);
    service.useAll();
    service.shareLeaving({}, 20); // first attempts
    service.shareLeaving({ service.namesIn(Here).front() }, 20); // second ones
    // 20 requests of 180 ms, decayed over 2 s.
    DOUBLES_EQUAL(20 * 0.18 / 2, service.balancer.ownDomainLoad(service.now).demand, 0.2);
}

TEST(TargetBalancerDomains, capacityIsThatOfTheOwnHealthyTargets)
{
    TwoDomains service(12);
    service.useAll();
    const double before = service.balancer.ownDomainLoad(service.now).capacity;
    CHECK_TRUE(before > 15 && before <= 24);
    service.balancer.noteLeaving(service.namesIn(Here).front());
    DOUBLES_EQUAL(before * 11 / 12, service.balancer.ownDomainLoad(service.now).capacity, 0.1);
}
