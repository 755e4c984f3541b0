// Simulates the balancers of one service in four failure domains on virtual time, in front of targets with slots and
// queues. Prints the figures of docs/design/leaving-the-failure-domain.md if MULBERRYPLANK_FIGURES is set.
#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <queue>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/policy/domainshares.h"
#include "mulberryplank/policy/targetbalancer.h"

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr Duration Tick = Millis(500);
constexpr Duration Settling = Seconds(3);
constexpr Duration Span = Seconds(10);
constexpr std::size_t Domains = 4;
constexpr std::size_t TargetsPerDomain = 20;
constexpr std::uint32_t Slots = 2;
constexpr std::uint32_t QueuePerSlot = 4;
constexpr double WorkSeconds = 0.18;
constexpr double DomainCapacity = TargetsPerDomain * Slots / WorkSeconds; // requests per second
constexpr Duration OneWay = std::chrono::microseconds(1'400);
constexpr Duration Timeout = Seconds(2);
constexpr Duration ConnectTime = Millis(300);
constexpr Duration NarrowDelay = Millis(200); // in each direction
constexpr double LostConnections = 0.3;

enum class Way {
    Before, // domains are compared by the costs alone
    FixedPenalty, // 150 ms for each request that leaves
    OwnUntilFull, // the setting at its maximum
    Price, // the load that other domains report, without a share
    Agreed, // the load and the agreed share
};

// What is wrong with the link from the first domain to the second one.
enum class Link {
    Whole,
    Cut, // no connection succeeds
    Lossy, // three of ten connections fail
    Narrow, // transfers take 0.4 s longer
};

struct Scenario {
    const char *name = "";
    std::array<double, Domains> utilization {}; // demand of each domain's callers as a share of its capacity
    std::size_t domainsWithoutTargets = 0; // the first ones
    double faultyShare = 0; // of the first domain's targets, which reset 85% of the requests
    Link link = Link::Whole;
};

struct Figures {
    double crossing = 0; // share of the bodies' bytes, which are equal for all requests
    double p50 = 0; // milliseconds
    double p99 = 0;
    double served = 0; // share of the requests
    double inTime = 0; // share of the requests served within the target latency
};

class DomainFleet
{
public:
    DomainFleet(const Scenario &scenario, Way way, std::size_t proxies, double lostReports = 0)
        : m_scenario(scenario)
        , m_way(way)
        , m_lostReports(lostReports)
        , m_random(7)
    {
        m_route.name = "route";
        m_route.kind = RouteKind::NonIdempotent;
        m_route.targetLatency = Millis(600);
        std::vector<ListedTarget> listed;
        for (std::size_t index = 0; index < Domains * TargetsPerDomain; ++index) {
            ListedTarget target;
            target.target.id = TargetName("t" + std::to_string(index));
            target.target.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
            target.target.failureDomain = domainName(index / TargetsPerDomain);
            target.target.slots = Slots;
            target.target.draining = index / TargetsPerDomain < scenario.domainsWithoutTargets;
            listed.push_back(target);
        }
        m_targets.resize(listed.size());
        std::set<FailureDomain> all;
        for (std::size_t domain = 0; domain < Domains; ++domain) {
            all.insert(domainName(domain));
        }
        for (std::size_t index = 0; index < proxies; ++index) {
            m_proxies.push_back({ TargetBalancer(settings(index % Domains), m_random()), {} });
            m_proxies.back().balancer.configure(listed);
            m_proxies.back().balancer.setDomainsWithProxies(all);
        }
        for (std::size_t domain = 0; domain < Domains; ++domain) {
            scheduleArrival(domain, Start);
        }
        schedule(Start + Tick, [this] {
            tick();
        });
    }

    Figures run()
    {
        while (!m_events.empty() && m_events.top().at < Start + Span) {
            const Scheduled next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
        std::sort(m_latencies.begin(), m_latencies.end());
        Figures figures;
        const double ended = std::max(m_ended, 1.0);
        figures.crossing = m_crossing / std::max(m_attempts, 1.0);
        figures.served = static_cast<double>(m_latencies.size()) / ended;
        figures.inTime = m_inTime / ended;
        if (!m_latencies.empty()) {
            figures.p50 = m_latencies[m_latencies.size() / 2];
            figures.p99 = m_latencies[m_latencies.size() * 99 / 100];
        }
        return figures;
    }

private:
    struct Scheduled {
        Instant at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Scheduled &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct Proxy {
        TargetBalancer balancer;
        DomainShares shares;
    };
    struct Request {
        std::size_t proxy = 0;
        Instant arrived;
        std::vector<TargetName> tried;
    };
    struct Attempt {
        Request request;
        std::size_t target = 0;
        Instant started;
        Duration oneWay {};
    };
    struct Target {
        std::uint32_t running = 0;
        std::deque<Attempt> waiting;
    };

    static FailureDomain domainName(std::size_t index)
    {
        return FailureDomain("d" + std::to_string(index));
    }

    BalancerSettings settings(std::size_t domain) const
    {
        BalancerSettings result;
        result.ownDomain = domainName(domain);
        const bool isBound = m_way == Way::Price || m_way == Way::Agreed;
        result.stayShare = isBound ? 0.25 : m_way == Way::OwnUntilFull ? 4 : 0;
        result.crossDomainRoundTrip = m_way == Way::FixedPenalty ? Millis(150) : Millis(3);
        return result;
    }

    void schedule(Instant at, std::function<void()> action)
    {
        m_events.push({ at, m_order++, std::move(action) });
    }

    void scheduleArrival(std::size_t domain, Instant after)
    {
        const double perSecond = m_scenario.utilization.at(domain) * DomainCapacity;
        if (perSecond <= 0) {
            return;
        }
        const Instant at = after + fromSeconds(std::exponential_distribution<double>(perSecond)(m_random));
        schedule(at, [this, domain, at] {
            const std::size_t perDomain = m_proxies.size() / Domains;
            const std::size_t number = std::uniform_int_distribution<std::size_t>(0, perDomain - 1)(m_random);
            send({ number * Domains + domain, at, {} });
            scheduleArrival(domain, at);
        });
    }

    bool counts(const Request &request) const
    {
        return request.arrived >= Start + Settling && request.arrived < Start + Span - Timeout;
    }

    void send(Request request)
    {
        TargetBalancer &balancer = m_proxies[request.proxy].balancer;
        TargetSelection selection;
        selection.route = &m_route;
        selection.excluded = request.tried;
        selection.isLast = !request.tried.empty();
        selection.timeLeft = request.arrived + Timeout - m_now;
        const std::optional<ChosenTarget> chosen = balancer.choose(selection, m_now);
        if (!chosen) {
            m_ended += counts(request) ? 1 : 0;
            return;
        }
        if (counts(request)) {
            m_attempts += 1;
            m_crossing += chosen->leavesDomain ? 1 : 0;
        }
        balancer.begin(chosen->id, m_route, m_now);
        request.tried.push_back(chosen->id);
        Attempt attempt;
        attempt.request = std::move(request);
        attempt.target = std::stoul(chosen->id.value().substr(1));
        attempt.started = m_now;
        attempt.oneWay = chosen->leavesDomain ? OneWay : Duration {};
        const bool usesLink = attempt.request.proxy % Domains == 0 && chosen->failureDomain == domainName(1);
        if (usesLink && connectFails()) {
            schedule(m_now + ConnectTime, [this, attempt] {
                end(attempt, AttemptResult::ConnectFailed, {});
            });
            return;
        }
        attempt.oneWay += usesLink && m_scenario.link == Link::Narrow ? NarrowDelay : Duration {};
        schedule(m_now + attempt.oneWay, [this, attempt] {
            arrive(attempt);
        });
    }

    bool connectFails()
    {
        return m_scenario.link == Link::Cut
               || (m_scenario.link == Link::Lossy && std::bernoulli_distribution(LostConnections)(m_random));
    }

    void arrive(const Attempt &attempt)
    {
        Target &target = m_targets[attempt.target];
        const double faulty =
            static_cast<double>(attempt.target) < m_scenario.faultyShare * TargetsPerDomain ? 0.85 : 0;
        if (std::bernoulli_distribution(faulty)(m_random)) {
            respond(attempt, AttemptResult::Reset);
        } else if (target.running < Slots) {
            start(attempt);
        } else if (target.waiting.size() < Slots * QueuePerSlot) {
            target.waiting.push_back(attempt);
        } else {
            respond(attempt, AttemptResult::Shed);
        }
    }

    void start(const Attempt &attempt)
    {
        ++m_targets[attempt.target].running;
        const double work = WorkSeconds * std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
        schedule(m_now + fromSeconds(work), [this, attempt] {
            Target &target = m_targets[attempt.target];
            --target.running;
            if (!target.waiting.empty()) {
                const Attempt next = target.waiting.front();
                target.waiting.pop_front();
                start(next);
            }
            respond(attempt, AttemptResult::Success);
        });
    }

    void respond(const Attempt &attempt, AttemptResult result)
    {
        const Target &target = m_targets[attempt.target];
        const ReportedLoad load { target.running, static_cast<std::uint32_t>(target.waiting.size()), Slots };
        schedule(m_now + attempt.oneWay, [this, attempt, result, load] {
            end(attempt, result, load);
        });
    }

    void end(const Attempt &attempt, AttemptResult result, const ReportedLoad &load)
    {
        const Request &request = attempt.request;
        AttemptOutcome outcome;
        outcome.result = m_now - request.arrived > Timeout ? AttemptResult::Timeout : result;
        outcome.latency = m_now - attempt.started;
        outcome.responseBytes = 1'800;
        const bool hasResponse = result == AttemptResult::Success || result == AttemptResult::Shed;
        outcome.load = hasResponse ? std::optional(load) : std::nullopt;
        const TargetName id("t" + std::to_string(attempt.target));
        const std::optional<double> evidence =
            m_proxies[request.proxy].balancer.end(id, m_route, attempt.started, outcome, m_now);
        if (evidence) {
            share(request.proxy, id, outcome.result, *evidence, attempt.started);
        }
        const bool notRun = result == AttemptResult::Shed || result == AttemptResult::ConnectFailed;
        if (notRun && m_now < request.arrived + Timeout && request.tried.size() < 2) {
            send(request);
            return;
        }
        if (!counts(request)) {
            return;
        }
        m_ended += 1;
        if (outcome.result == AttemptResult::Success) {
            m_latencies.push_back(toSeconds(m_now - request.arrived) * 1'000);
            m_inTime += m_now - request.arrived <= m_route.targetLatency ? 1 : 0;
        }
    }

    void share(std::size_t from, const TargetName &id, AttemptResult result, double logRatio, Instant usedAt)
    {
        for (std::size_t to = 0; to < m_proxies.size(); ++to) {
            if (to != from) {
                m_proxies[to].balancer.addRemoteEvidence(id, result, logRatio, usedAt, m_now);
            }
        }
    }

    void tick()
    {
        const double success = FaultModel::evidenceOf(AttemptResult::Success).logRatio();
        for (std::size_t index = 0; index < m_proxies.size(); ++index) {
            for (const TargetBalancer::Update &update : m_proxies[index].balancer.takeUpdates()) {
                const AttemptResult result = update.responded ? AttemptResult::Success : AttemptResult::Cancelled;
                share(index, update.id, result, update.responded ? success : 0, update.usedAt);
            }
        }
        if (m_way == Way::Price || m_way == Way::Agreed) {
            exchangeLoads();
        }
        schedule(m_now + Tick, [this] {
            tick();
        });
    }

    void exchangeLoads()
    {
        for (std::size_t index = 0; index < m_proxies.size(); ++index) {
            if (!m_proxies[index].balancer.staysInDomain()) {
                continue;
            }
            const DomainLoad load = m_proxies[index].balancer.ownDomainLoad(m_now);
            for (std::size_t to = 0; to < m_proxies.size(); ++to) {
                if (to == index || !std::bernoulli_distribution(m_lostReports)(m_random)) {
                    m_proxies[to].shares.note(index + 1, load, m_now);
                }
            }
        }
        for (std::size_t index = 0; index < m_proxies.size(); ++index) {
            Proxy &proxy = m_proxies[index];
            proxy.shares.update(domainName(index % Domains), m_now);
            const AgreedShare share = m_way == Way::Agreed ? proxy.shares.share() : AgreedShare {};
            proxy.balancer.setAgreedShare(share, proxy.shares.loads(m_now), m_now);
        }
    }

    Scenario m_scenario;
    Way m_way;
    double m_lostReports;
    std::mt19937_64 m_random;
    HostRoute m_route;
    std::vector<Proxy> m_proxies; // in turn in each domain
    std::vector<Target> m_targets;
    std::priority_queue<Scheduled> m_events;
    std::uint64_t m_order = 0;
    Instant m_now = Start;
    double m_attempts = 0;
    double m_crossing = 0;
    double m_ended = 0;
    double m_inTime = 0;
    std::vector<double> m_latencies; // milliseconds
};

// Ingress proxies of fleets of 45 and of 300 gateways.
constexpr std::size_t FewProxies = 8;
constexpr std::size_t ManyProxies = 52;

const Scenario Even { "even load", { 0.5, 0.5, 0.5, 0.5 }, 0, 0, Link::Whole };
const Scenario TwiceCapacity { "one domain at twice its capacity", { 2, 0.3, 0.3, 0.3 }, 0, 0, Link::Whole };
const Scenario NoTarget { "one domain without targets", { 0.5, 0.5, 0.5, 0.5 }, 1, 0, Link::Whole };
const Scenario TwoAtLimit { "two domains at their limit", { 1, 1, 0.3, 0.3 }, 0, 0, Link::Whole };
const Scenario FaultyDomain { "one domain faulty", { 0.5, 0.5, 0.5, 0.5 }, 0, 1, Link::Whole };

Figures figuresOf(const Scenario &scenario, Way way, std::size_t proxies = FewProxies, double lostReports = 0)
{
    return DomainFleet(scenario, way, proxies, lostReports).run();
}

// A share of requests that may differ by chance between two runs of some thousand requests.
constexpr double Chance = 0.01;

} // namespace

TEST_GROUP(DomainFleet) {};

// Guards against requests that cross domains by chance while all domains serve as well.
TEST(DomainFleet, fewBytesLeaveUnderEvenLoadAndServiceIsNoWorse)
{
    const Figures before = figuresOf(Even, Way::Before);
    const Figures now = figuresOf(Even, Way::Agreed);
    CHECK_TRUE(now.crossing < before.crossing / 5);
    CHECK_TRUE(now.served >= before.served - Chance);
    CHECK_TRUE(now.p99 <= before.p99 * (1 + Chance));
}

TEST(DomainFleet, domainAtTwiceItsCapacityIsServedByOthers)
{
    const Figures before = figuresOf(TwiceCapacity, Way::Before);
    const Figures now = figuresOf(TwiceCapacity, Way::Agreed);
    CHECK_TRUE(now.served >= before.served - Chance);
    CHECK_TRUE(now.inTime >= before.inTime - Chance);
}

TEST(DomainFleet, domainWithoutTargetsIsServedByOthers)
{
    const Figures before = figuresOf(NoTarget, Way::Before);
    const Figures now = figuresOf(NoTarget, Way::Agreed);
    CHECK_TRUE(now.served >= before.served - Chance);
    CHECK_TRUE(now.inTime >= before.inTime - Chance);
    CHECK_TRUE(now.crossing < before.crossing);
}

TEST(DomainFleet, domainsAtTheirLimitAreRelievedByOthers)
{
    const Figures before = figuresOf(TwoAtLimit, Way::Before);
    const Figures now = figuresOf(TwoAtLimit, Way::Agreed);
    CHECK_TRUE(now.served >= before.served - Chance);
    CHECK_TRUE(now.inTime >= before.inTime - Chance);
    CHECK_TRUE(now.crossing < before.crossing);
}

// Guards against requests that stay in a domain whose targets all fail.
TEST(DomainFleet, domainWithoutANonFaultyTargetIsServedByOthers)
{
    const Figures before = figuresOf(FaultyDomain, Way::Before);
    const Figures now = figuresOf(FaultyDomain, Way::Agreed);
    CHECK_TRUE(now.served >= before.served - Chance);
}

// Guards against service that depends on every report: with all of them lost, requests leave by their expected time.
TEST(DomainFleet, lostReportsDoNotMakeServiceWorse)
{
    for (const double lost : { 0.3, 1.0 }) {
        const Figures before = figuresOf(TwiceCapacity, Way::Before);
        const Figures now = figuresOf(TwiceCapacity, Way::Agreed, FewProxies, lost);
        CHECK_TRUE(now.served >= before.served - Chance);
    }
}

// Guards against an agreed share that leads over a link which its reports, sent by others, don't show to be bad.
TEST(DomainFleet, badLinkBetweenDomainsDoesNotMakeServiceWorse)
{
    for (const Link link : { Link::Cut, Link::Lossy }) {
        Scenario scenario = TwiceCapacity;
        scenario.link = link;
        const Figures before = figuresOf(scenario, Way::Before);
        const Figures now = figuresOf(scenario, Way::Agreed);
        CHECK_TRUE(now.served >= before.served - Chance);
        CHECK_TRUE(now.inTime >= before.inTime - Chance);
    }
}

TEST(DomainFleet, narrowLinkBetweenDomainsLosesNoRequests)
{
    Scenario scenario = TwiceCapacity;
    scenario.link = Link::Narrow;
    CHECK_TRUE(figuresOf(scenario, Way::Agreed).served >= figuresOf(scenario, Way::Before).served - Chance);
}

// Guards against an agreed share that leads over a slow link, because the delay is learned for each target alone.
TEST(DomainFleet, narrowLinkBetweenDomainsDoesNotMakeRequestsLate)
{
    Scenario scenario = TwiceCapacity;
    scenario.link = Link::Narrow;
    CHECK_TRUE(figuresOf(scenario, Way::Agreed).inTime >= figuresOf(scenario, Way::Before).inTime - Chance);
}

TEST(DomainFleet, figuresOfTheDesignNote)
{
    if (std::getenv("MULBERRYPLANK_FIGURES") == nullptr) {
        return;
    }
    constexpr std::array<const char *, 5> Ways { "before", "fixed penalty", "own until full", "price", "agreed" };
    for (const std::size_t proxies : { FewProxies, ManyProxies }) {
        for (const Scenario &scenario : { Even, TwiceCapacity, NoTarget, TwoAtLimit, FaultyDomain }) {
            for (std::size_t way = 0; way < Ways.size(); ++way) {
                const Figures figures = figuresOf(scenario, static_cast<Way>(way), proxies);
                std::printf("| %zu | %s | %s | %.1f | %.0f | %.0f | %.1f | %.1f |\n",
                            proxies,
                            scenario.name,
                            Ways.at(way),
                            figures.crossing * 100,
                            figures.p50,
                            figures.p99,
                            figures.served * 100,
                            figures.inTime * 100);
            }
        }
    }
}
