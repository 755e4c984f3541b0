#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/policy/ratelimitannouncer.h"
#include "mulberryplank/policy/ratelimitshare.h"
#include "mulberryplank/policy/targetbalancer.h"

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr Duration Step = Millis(5);
constexpr Duration ResponseTime = Millis(300);
constexpr Duration MessageDelay = Millis(2);
constexpr Duration DetectionTime = Seconds(3); // until a killed or silent proxy is dead to the others
constexpr Duration AnnounceInterval = Millis(500);
// The users' bound: in any four seconds one and a half times the limit, and five requests, from proxies that the target
// has told half a second before or earlier, from three seconds after it named the limit.
constexpr Duration Window = Seconds(4);
constexpr Duration ToldBefore = Millis(500);
constexpr Duration KeptAfter = Seconds(3);
constexpr double BoundFactor = 1.5;
constexpr double BoundSlack = 5;

struct FleetPlan {
    std::size_t ingress = 6;
    std::size_t idle = 26; // proxies without callers
    std::size_t targets = 11;
    double requestsPerSecond = 40; // of all callers
    double lossRate = 0.05; // share of lost datagrams
    std::uint64_t seed = 1;
};

// Proxies with one service whose targets name rate limits.
class DisturbedFleet
{
public:
    explicit DisturbedFleet(const FleetPlan &plan)
        : m_plan(plan)
        , m_random(plan.seed)
        , m_targets(plan.targets)
    {
        m_route.name = "all";
        m_route.kind = RouteKind::NonIdempotent;
        m_route.targetLatency = Millis(1'200);
        for (std::size_t index = 0; index < plan.targets; ++index) {
            ListedTarget listed;
            listed.target.id = TargetName("i-" + std::to_string(index));
            listed.target.failureDomain = domain(index);
            listed.target.slots = 4;
            listed.lastHeartbeat = Start;
            m_listed.push_back(listed);
        }
        for (std::size_t index = 0; index < plan.ingress; ++index) {
            m_proxies.push_back(std::make_unique<Proxy>());
            restart(index);
            m_proxies[index]->toldSince.clear();
        }
    }

    // Makes a target name a limit in its responses, or withdraw it.
    void setLimit(std::size_t target, std::optional<double> perSecond)
    {
        m_targets[target].limits.emplace_back(m_now, perSecond);
    }

    // Stops a proxy. Until the others detect that, its part of the limits isn't used.
    void kill(std::size_t index)
    {
        m_proxies[index]->isRunning = false;
        m_proxies[index]->stoppedAt = m_now;
        disturb(index);
    }

    // Starts a proxy that knows no limits.
    void restart(std::size_t index)
    {
        Proxy &proxy = *m_proxies[index];
        proxy.isRunning = true;
        proxy.isSilent = false;
        proxy.incarnation = ++m_starts;
        BalancerSettings settings;
        settings.ownDomain = domain(index);
        proxy.balancer = std::make_unique<TargetBalancer>(settings,
                                                          m_random(),
                                                          SuspicionHook {},
                                                          RestartHook {},
                                                          [this, index](const AnnouncedTarget &target, double limit) {
                                                              return rateLimitShare(target, limit, fleetOf(index));
                                                          });
        proxy.balancer->configure(m_listed);
        disturb(index);
    }

    // Makes a proxy receive no messages and no callers, or ends that.
    void setSilent(std::size_t index, bool isSilent)
    {
        m_proxies[index]->isSilent = isSilent;
        m_proxies[index]->stoppedAt = m_now;
        disturb(index);
    }

    // Sets whether callers send requests to a proxy. They send as many in all.
    void setHasCallers(std::size_t index, bool hasCallers)
    {
        m_proxies[index]->hasCallers = hasCallers;
    }

    void run(Duration span)
    {
        for (const Instant end = m_now + span; m_now < end; m_now += Step) {
            deliver();
            sendRequests();
            if ((m_now - Start) % AnnounceInterval == Duration {}) {
                tick();
            }
        }
    }

    // Returns how many targets got more requests than their limits allow in the last four seconds.
    std::size_t exceeded() const
    {
        return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [this](const Target &target) {
            const std::optional<double> bound = boundOf(target);
            return bound && static_cast<double>(countedArrivals(target)) > *bound;
        }));
    }

    // Returns the number of requests that a target got in the time before now.
    std::size_t arrivals(std::size_t target, Duration span) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_targets[target].arrivals.begin(), m_targets[target].arrivals.end(), [&](const Arrival &arrival) {
                return arrival.at > m_now - span;
            }));
    }

    std::size_t refused() const
    {
        return m_refused;
    }

private:
    struct Proxy {
        std::unique_ptr<TargetBalancer> balancer;
        RateLimitAnnouncer announcer;
        Incarnation incarnation = 0;
        bool isRunning = true;
        bool isSilent = false;
        bool hasCallers = true;
        Instant stoppedAt {};
        std::map<std::size_t, Instant> toldSince; // by target: the first response with a limit
    };
    struct Arrival {
        Instant at {};
        bool isCounted = false;
    };
    struct Target {
        std::vector<std::pair<Instant, std::optional<double>>> limits; // from these times on
        std::vector<Arrival> arrivals;
    };
    struct Delivery {
        Instant at {};
        std::uint64_t order = 0;
        std::function<void()> deliver;

        bool operator<(const Delivery &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    static FailureDomain domain(std::size_t index)
    {
        return FailureDomain("domain-" + std::to_string(index % 3));
    }

    // A disturbed proxy isn't counted until a target tells it again.
    void disturb(std::size_t index)
    {
        m_proxies[index]->toldSince.clear();
    }

    bool isDetected(const Proxy &proxy) const
    {
        return (!proxy.isRunning || proxy.isSilent) && m_now - proxy.stoppedAt > DetectionTime;
    }

    // Returns the members in a proxy's view. A silent one considers the others dead after a while.
    RateLimitFleet fleetOf(std::size_t viewer) const
    {
        RateLimitFleet fleet;
        const bool isAlone = isDetected(*m_proxies[viewer]);
        for (std::size_t index = 0; index < m_proxies.size(); ++index) {
            if (index != viewer && (isAlone || isDetected(*m_proxies[index]))) {
                continue;
            }
            Member member;
            member.incarnation = m_proxies[index]->incarnation;
            member.vm = VmName("vm-" + std::to_string(index));
            member.failureDomain = domain(index);
            member.status = MemberStatus::Alive;
            fleet.ingressProxies.push_back(member);
        }
        fleet.processes = fleet.ingressProxies.size() + (isAlone ? 0 : m_plan.idle);
        fleet.self = m_proxies[viewer]->incarnation;
        return fleet;
    }

    std::optional<double> limitAt(const Target &target, Instant at) const
    {
        std::optional<double> limit;
        for (const auto &[from, perSecond] : target.limits) {
            limit = from <= at ? perSecond : limit;
        }
        return limit;
    }

    // Returns the bound for the last window, or nothing if the target had no limit in part of it. A lower limit applies
    // three seconds after it was named.
    std::optional<double> boundOf(const Target &target) const
    {
        double highest = 0;
        for (Instant at = m_now - Window - KeptAfter; at <= m_now; at += Millis(50)) {
            const std::optional<double> limit = limitAt(target, at);
            if (!limit) {
                return std::nullopt;
            }
            highest = std::max(highest, *limit);
        }
        return BoundFactor * highest * toSeconds(Window) + BoundSlack;
    }

    std::size_t countedArrivals(const Target &target) const
    {
        return static_cast<std::size_t>(
            std::count_if(target.arrivals.begin(), target.arrivals.end(), [this](const Arrival &arrival) {
                return arrival.isCounted && arrival.at > m_now - Window;
            }));
    }

    void after(Duration delay, std::function<void()> action)
    {
        m_deliveries.push({ m_now + delay, ++m_order, std::move(action) });
    }

    void deliver()
    {
        while (!m_deliveries.empty() && m_deliveries.top().at <= m_now) {
            const std::function<void()> action = m_deliveries.top().deliver;
            m_deliveries.pop();
            action();
        }
    }

    void sendRequests()
    {
        const double expected = m_plan.requestsPerSecond * toSeconds(Step);
        for (int left = std::poisson_distribution<int>(expected)(m_random); left > 0; --left) {
            std::size_t index = std::uniform_int_distribution<std::size_t>(0, m_proxies.size() - 1)(m_random);
            while (!m_proxies[index]->hasCallers) {
                index = (index + 1) % m_proxies.size();
            }
            if (m_proxies[index]->isRunning && !m_proxies[index]->isSilent) {
                sendRequest(index);
            }
        }
    }

    void sendRequest(std::size_t index)
    {
        Proxy &proxy = *m_proxies[index];
        const std::optional<ChosenTarget> chosen = proxy.balancer->choose({ &m_route, {}, {} }, m_now);
        if (!chosen) {
            ++m_refused;
            return;
        }
        proxy.balancer->begin(chosen->id, m_route, m_now);
        const std::size_t target = std::stoul(chosen->id.value().substr(2));
        const auto told = proxy.toldSince.find(target);
        const bool isCounted = told != proxy.toldSince.end() && m_now - told->second >= ToldBefore;
        m_targets[target].arrivals.push_back({ m_now, isCounted });
        after(ResponseTime, [this, index, target, incarnation = proxy.incarnation, sentAt = m_now] {
            respond(index, target, incarnation, sentAt);
        });
    }

    void respond(std::size_t index, std::size_t target, Incarnation incarnation, Instant sentAt)
    {
        Proxy &proxy = *m_proxies[index];
        if (proxy.incarnation != incarnation || !proxy.isRunning) {
            return;
        }
        const TargetName &id = m_listed[target].target.id;
        AttemptOutcome end;
        end.latency = ResponseTime;
        proxy.balancer->end(id, m_route, sentAt, end, m_now);
        const std::optional<double> limit = limitAt(m_targets[target], m_now);
        const RateLimitNotice notice { limit, limit ? m_now : sentAt };
        if (proxy.balancer->noteRateLimit(id, notice, m_now)) {
            proxy.announcer.add(targetKey(id), notice);
            announce(index);
        } else if (limit && proxy.balancer->startRateLimitRefresh(id, m_now)) {
            proxy.announcer.addRefresh(targetKey(id), notice);
        }
        if (limit) {
            proxy.toldSince.emplace(target, m_now);
        } else {
            proxy.toldSince.erase(target);
        }
    }

    void announce(std::size_t from)
    {
        const std::vector<RateLimitReport> reports = m_proxies[from]->announcer.take(m_now);
        for (std::size_t to = 0; to < m_proxies.size() && !reports.empty(); ++to) {
            const bool isLost = std::bernoulli_distribution(m_plan.lossRate)(m_random);
            if (to != from && !isLost && !m_proxies[from]->isSilent) {
                after(MessageDelay, [this, to, reports] {
                    receive(to, reports);
                });
            }
        }
    }

    void receive(std::size_t index, const std::vector<RateLimitReport> &reports)
    {
        const Proxy &proxy = *m_proxies[index];
        if (!proxy.isRunning || proxy.isSilent) {
            return;
        }
        for (const RateLimitReport &report : reports) {
            for (const ListedTarget &listed : m_listed) {
                if (targetKey(listed.target.id) == report.target) {
                    proxy.balancer->noteRateLimit(listed.target.id, noticeOf(report, m_now), m_now);
                }
            }
        }
    }

    void tick()
    {
        for (std::size_t index = 0; index < m_proxies.size(); ++index) {
            if (m_proxies[index]->isRunning) {
                m_proxies[index]->balancer->updateRateLimitShares(m_now);
                announce(index);
            }
        }
    }

    FleetPlan m_plan;
    std::mt19937_64 m_random;
    Instant m_now = Start;
    HostRoute m_route;
    std::vector<ListedTarget> m_listed;
    std::vector<Target> m_targets;
    std::vector<std::unique_ptr<Proxy>> m_proxies;
    std::priority_queue<Delivery> m_deliveries;
    std::uint64_t m_order = 0;
    Incarnation m_starts = 0;
    std::size_t m_refused = 0;
};

// Runs a fleet and checks the bound throughout.
void runWithinLimits(DisturbedFleet &fleet, Duration span)
{
    constexpr Duration CheckInterval = Millis(100);
    for (Duration passed {}; passed < span; passed += CheckInterval) {
        fleet.run(CheckInterval);
        CHECK_EQUAL(0, fleet.exceeded());
    }
}

} // namespace

TEST_GROUP(RateLimitFleet) {};

TEST(RateLimitFleet, targetGetsNearlyItsLimitAndNoMoreFromAllProxiesTogether)
{
    for (const double limit : { 1.0, 2.1, 3.7, 6.5, 12.0 }) {
        DisturbedFleet fleet({});
        fleet.run(Seconds(5));
        fleet.setLimit(0, limit);
        runWithinLimits(fleet, Seconds(20));
        CHECK_TRUE(static_cast<double>(fleet.arrivals(0, Seconds(15))) <= limit * 15 * 1.1 + 1);
    }
}

// Guards against a limit that every proxy rounds up to a request of its own.
TEST(RateLimitFleet, limitFarBelowOneRequestPerSecondAndProxyIsKept)
{
    for (const std::size_t ingress : { 6, 60 }) {
        for (const double limit : { 0.0, 0.02, 0.2, 0.5 }) {
            FleetPlan plan;
            plan.ingress = ingress;
            plan.requestsPerSecond = 200;
            DisturbedFleet fleet(plan);
            fleet.run(Seconds(3));
            fleet.setLimit(0, limit);
            runWithinLimits(fleet, Seconds(40));
            CHECK_TRUE(static_cast<double>(fleet.arrivals(0, Seconds(30))) <= std::max(limit, 0.05) * 30 * 1.2 + 2);
        }
    }
}

TEST(RateLimitFleet, changedLimitIsKept)
{
    DisturbedFleet fleet({});
    fleet.run(Seconds(3));
    for (const double limit : { 8.0, 1.0, 0.3, 5.0, 0.1 }) {
        fleet.setLimit(3, limit);
        runWithinLimits(fleet, Seconds(15));
    }
}

// Guards against a target that no proxy uses any more after it has withdrawn its limit.
TEST(RateLimitFleet, targetThatWithdrawsItsLimitIsUsedAsBefore)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetPlan plan;
        plan.seed = seed;
        DisturbedFleet fleet(plan);
        fleet.run(Seconds(5));
        fleet.setLimit(0, 1);
        runWithinLimits(fleet, Seconds(10));
        fleet.setLimit(0, std::nullopt);
        fleet.run(Seconds(24));
        DisturbedFleet unlimited(plan);
        unlimited.run(Seconds(39));
        CHECK_TRUE(fleet.arrivals(0, Seconds(20)) > unlimited.arrivals(0, Seconds(20)) / 2);
    }
}

TEST(RateLimitFleet, limitsOfAllTargetsAtOnceAreKept)
{
    DisturbedFleet fleet({});
    fleet.run(Seconds(3));
    for (std::size_t target = 0; target < 11; ++target) {
        fleet.setLimit(target, 0.4 * static_cast<double>(target));
    }
    runWithinLimits(fleet, Seconds(20));
    std::size_t served = 0;
    for (std::size_t target = 0; target < 11; ++target) {
        served += fleet.arrivals(target, Seconds(10));
    }
    CHECK_TRUE(served > 22 * 10 * 7 / 10);
    CHECK_TRUE(fleet.refused() > 0);
}

// Guards against a service that stays limited for most callers because the holders of withdrawn limits have no callers.
TEST(RateLimitFleet, withdrawnLimitsAreNoticedAlthoughTheirHoldersHaveNoCallers)
{
    constexpr Duration NoticedWithin = Seconds(12); // silence, and a turn of the proxy
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetPlan plan;
        plan.idle = 0;
        plan.seed = seed;
        DisturbedFleet fleet(plan);
        fleet.run(Seconds(3));
        for (std::size_t target = 0; target < plan.targets; ++target) {
            fleet.setLimit(target, 0.5);
        }
        fleet.run(Seconds(5));
        for (const std::size_t index : { 0, 1, 2, 3, 4 }) {
            fleet.setHasCallers(index, false);
        }
        for (std::size_t target = 0; target < plan.targets; ++target) {
            fleet.setLimit(target, std::nullopt);
        }
        fleet.run(NoticedWithin);
        const std::size_t refusedBefore = fleet.refused();
        fleet.run(Seconds(5));
        CHECK_EQUAL(refusedBefore, fleet.refused());
        CHECK_TRUE(fleet.arrivals(0, Seconds(5)) > 0);
    }
}

// Guards against parts of a limit that two proxies use when one takes over from another, and parts that none uses.
TEST(RateLimitFleet, limitIsKeptAndUsedWhileProxiesAreKilledAndSilent)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetPlan plan;
        plan.seed = seed;
        DisturbedFleet fleet(plan);
        fleet.run(Seconds(3));
        for (std::size_t target = 0; target < 4; ++target) {
            fleet.setLimit(target, 1 + static_cast<double>(target) / 2);
        }
        runWithinLimits(fleet, Seconds(8));
        for (std::size_t index = 0; index < plan.ingress; ++index) {
            fleet.kill(index);
            runWithinLimits(fleet, Seconds(6));
            fleet.setSilent((index + 1) % plan.ingress, true);
            fleet.restart(index);
            runWithinLimits(fleet, Seconds(5));
            fleet.setSilent((index + 1) % plan.ingress, false);
            runWithinLimits(fleet, Seconds(5));
        }
        for (std::size_t target = 0; target < 4; ++target) {
            // At least one request in the time until a killed holder is replaced and its successor has found a request.
            CHECK_TRUE(fleet.arrivals(target, Seconds(60)) > 60 / 8);
        }
    }
}
