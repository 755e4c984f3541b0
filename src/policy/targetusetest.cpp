// Simulates several balancers of one service in front of the same targets on virtual time. Updates between the
// balancers may be lost or late.
#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "mulberryplank/policy/idlelimit.h"
#include "mulberryplank/policy/targetbalancer.h"
#include "mulberryplank/policy/windowbudget.h"

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr Duration Tick = Millis(500); // between two updates on which targets were used

// Parameters of the simulation.
struct FleetPlan {
    std::size_t gateways = 3;
    std::size_t targets = 10;
    double perSecond = 40; // requests per second of the whole fleet
    double faultyShare = 0.3; // of the targets at a time
    double faultSeconds = 5; // mean duration of a fault
    double failureShare = 0.75; // of the requests to faulty targets: those that hang or are reset
    double lostUpdates = 0; // share of the messages
    Duration updateDelay = Millis(1);
    RouteKind kind = RouteKind::NonIdempotent;
    double nonIdempotentPerSecond = 0; // further requests of another route
    bool retries = false; // idempotent requests that fail get a second attempt within the retry budget
    bool faultyTargetsReset = false; // instead of not responding
    double forgettingShare = 0; // of the targets: those that drop connections which were idle for 220 ms
    std::uint64_t seed = 1;
};

class BalancedFleet
{
public:
    explicit BalancedFleet(const FleetPlan &plan)
        : m_plan(plan)
        , m_random(plan.seed)
        , m_faultPeriods(plan.targets)
        , m_used(plan.targets)
        , m_idleLimits(plan.gateways)
        , m_idleSince(plan.gateways, std::vector<std::optional<Instant>>(plan.targets))
    {
        m_route.name = "route";
        m_route.kind = plan.kind;
        m_route.targetLatency = Millis(1'500);
        m_nonIdempotentRoute = m_route;
        m_nonIdempotentRoute.name = "once";
        m_nonIdempotentRoute.kind = RouteKind::NonIdempotent;
        std::vector<ListedTarget> listed(plan.targets);
        for (std::size_t index = 0; index < plan.targets; ++index) {
            listed[index].target.id = TargetName("t" + std::to_string(index));
            listed[index].target.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
            listed[index].target.slots = 4;
        }
        for (std::size_t index = 0; index < plan.gateways; ++index) {
            m_balancers.emplace_back(BalancerSettings {}, m_random());
            m_balancers.back().configure(listed);
            m_budgets.emplace_back(
                WindowBudgetSettings { BudgetShare, Seconds(10), FixedBudget / static_cast<double>(plan.gateways) });
        }
        for (std::size_t index = 0; index < plan.targets; ++index) {
            const bool isFaulty = std::bernoulli_distribution(plan.faultyShare)(m_random);
            const Instant begin = isFaulty ? Start : Start + period(healthySeconds());
            m_faultPeriods[index].push_back({ begin, begin + period(m_plan.faultSeconds) });
        }
    }

    void simulate(Duration span)
    {
        const Instant end = Start + span;
        Instant nextTick = Start + Tick;
        while (m_now < end) {
            const double perSecond = m_plan.perSecond + m_plan.nonIdempotentPerSecond;
            m_now += fromSeconds(std::exponential_distribution<double>(perSecond)(m_random));
            while (nextTick <= m_now) {
                sendUpdates();
                nextTick += Tick;
            }
            endAttempts();
            deliver();
            retryRequests();
            sendRequest();
        }
    }

    // Returns the minimum share of healthy targets that received a request within two seconds. A target that failed by
    // itself counts as healthy two seconds after it recovers.
    double minUsedShare(Instant from) const
    {
        double minShare = 1;
        for (Instant begin = from; begin + Window <= m_now; begin += Millis(100)) {
            minShare = std::min(minShare, usedShare(begin));
        }
        return minShare;
    }

    // Returns the share of the spans of two seconds in which less than that share of the healthy targets received a
    // request.
    double spansBelow(double share, Instant from) const
    {
        double spans = 0;
        double below = 0;
        for (Instant begin = from; begin + Window <= m_now; begin += Millis(100)) {
            spans += 1;
            below += usedShare(begin) < share ? 1 : 0;
        }
        return below / std::max(spans, 1.0);
    }

    // Returns the probability that a healthy target receives no request for two seconds.
    double unusedShare(Instant from) const
    {
        double healthy = 0;
        double unused = 0;
        for (Instant begin = from; begin + Window <= m_now; begin += Millis(100)) {
            for (std::size_t index = 0; index < m_plan.targets; ++index) {
                const bool isHealthy = !wasFaulty(index, begin - Window, begin + Window);
                healthy += isHealthy ? 1 : 0;
                unused += isHealthy && !wasUsed(index, begin, begin + Window) ? 1 : 0;
            }
        }
        return unused / std::max(healthy, 1.0);
    }

    // Returns the probability that a target, faulty or not, receives no request for two seconds.
    double unusedShareOfAll(Instant from) const
    {
        double spans = 0;
        double unused = 0;
        for (Instant begin = from; begin + Window <= m_now; begin += Millis(100)) {
            for (std::size_t index = 0; index < m_plan.targets; ++index) {
                spans += 1;
                unused += wasUsed(index, begin, begin + Window) ? 0 : 1;
            }
        }
        return unused / std::max(spans, 1.0);
    }

    double hungShare() const
    {
        return m_hung / std::max(m_sent, 1.0);
    }

    // Returns the share of the idempotent requests that were first sent to a target believed to be faulty.
    double doubtfulShare() const
    {
        return m_idempotent.doubtful / std::max(m_idempotent.requests, 1.0);
    }

    double lostShareOfAll() const
    {
        return (m_idempotent.lost + m_nonIdempotent.lost)
               / std::max(m_idempotent.requests + m_nonIdempotent.requests, 1.0);
    }

    double lostShare(RouteKind kind) const
    {
        const Tally &tally = isIdempotent(kind) ? m_idempotent : m_nonIdempotent;
        return tally.lost / std::max(tally.requests, 1.0);
    }

private:
    static constexpr double BudgetShare = 0.2; // second attempts per request
    static constexpr double FixedBudget = 186; // further second attempts in ten seconds, of all gateways
    static constexpr Duration HedgeAfter = Millis(700);
    static constexpr Duration ForgetsAfter = Millis(220);
    static constexpr Duration Window = Seconds(2);

    // A period in which a target is faulty.
    struct FaultPeriod {
        Instant begin;
        Instant end;
    };

    bool wasFaulty(std::size_t index, Instant from, Instant to) const
    {
        return std::any_of(
            m_faultPeriods[index].begin(), m_faultPeriods[index].end(), [from, to](const FaultPeriod &period) {
                return period.begin < to && period.end > from;
            });
    }

    // Returns the share of the healthy targets that received a request within two seconds, 1 if none was healthy.
    double usedShare(Instant begin) const
    {
        std::size_t healthy = 0;
        std::size_t used = 0;
        for (std::size_t index = 0; index < m_plan.targets; ++index) {
            if (!wasFaulty(index, begin - Window, begin + Window)) {
                ++healthy;
                used += wasUsed(index, begin, begin + Window) ? 1 : 0;
            }
        }
        return healthy == 0 ? 1 : static_cast<double>(used) / static_cast<double>(healthy);
    }

    bool wasUsed(std::size_t index, Instant from, Instant to) const
    {
        const std::vector<Instant> &times = m_used[index];
        const auto first = std::lower_bound(times.begin(), times.end(), from);
        return first != times.end() && *first < to;
    }

    // Requests of one kind.
    struct Tally {
        double requests = 0;
        double doubtful = 0; // first sent to a target with a fault probability above a half
        double lost = 0;
    };

    struct Running {
        Instant endsAt;
        Instant started;
        std::size_t gateway = 0;
        TargetName target;
        AttemptResult result = AttemptResult::Success;
        std::optional<Instant> noResponseReportAt;
        const HostRoute *route = nullptr;
        std::optional<Instant> retryAt; // of a first attempt that fails
    };
    struct Message {
        Instant at;
        std::size_t to = 0;
        TargetName target;
        AttemptResult result = AttemptResult::Cancelled;
        double logRatio = 0;
        Instant usedAt {};
    };

    bool isFaulty(std::size_t index)
    {
        while (m_faultPeriods[index].back().end <= m_now) {
            const Instant begin = m_faultPeriods[index].back().end + period(healthySeconds());
            m_faultPeriods[index].push_back({ begin, begin + period(m_plan.faultSeconds) });
        }
        return wasFaulty(index, m_now, m_now);
    }

    double healthySeconds() const
    {
        return m_plan.faultSeconds * (1 - m_plan.faultyShare) / std::max(m_plan.faultyShare, 1e-6);
    }

    Duration period(double meanSeconds)
    {
        return fromSeconds(std::exponential_distribution<double>(1 / meanSeconds)(m_random));
    }

    void sendRequest()
    {
        const std::size_t gateway = std::uniform_int_distribution<std::size_t>(0, m_plan.gateways - 1)(m_random);
        const double total = m_plan.perSecond + m_plan.nonIdempotentPerSecond;
        const bool other = m_plan.nonIdempotentPerSecond > 0
                           && std::bernoulli_distribution(m_plan.nonIdempotentPerSecond / total)(m_random);
        m_budgets[gateway].onRequest(m_now);
        startAttempt(gateway, other ? m_nonIdempotentRoute : m_route, {});
    }

    void startAttempt(std::size_t gateway, const HostRoute &route, const std::vector<TargetName> &tried)
    {
        const bool repeatable = m_plan.retries && isIdempotent(route.kind) && tried.empty();
        TargetSelection selection { &route, tried, {} };
        selection.isLast = m_plan.retries && (!repeatable || m_budgets[gateway].left(m_now) < 2);
        const std::optional<ChosenTarget> chosen = m_balancers[gateway].choose(selection, m_now);
        const std::size_t index = std::stoul(chosen->id.value().substr(1));
        const bool hangs = isFaulty(index) && std::bernoulli_distribution(m_plan.failureShare)(m_random);
        m_balancers[gateway].begin(chosen->id, route, m_now);
        m_sent += 1;
        if (tried.empty()) {
            Tally &tally = isIdempotent(route.kind) ? m_idempotent : m_nonIdempotent;
            tally.requests += 1;
            tally.doubtful += chosen->risk > FaultModel::failureRisk(0.5) ? 1 : 0;
        }
        const std::optional<Duration> idle = takeConnection(gateway, index);
        if (idle && *idle > ForgetsAfter && forgetsConnections(index)) {
            m_idleLimits[gateway].noteReset(*idle, m_now);
            resetRequest(gateway, chosen->id);
            return;
        }
        m_used[index].push_back(m_now);
        m_hung += hangs ? 1 : 0;
        Running running;
        running.started = m_now;
        running.gateway = gateway;
        running.target = chosen->id;
        running.route = &route;
        const AttemptResult failure = m_plan.faultyTargetsReset ? AttemptResult::Reset : AttemptResult::Timeout;
        const Duration failsAfter = m_plan.faultyTargetsReset ? Millis(3) : Seconds(3);
        running.result = hangs ? failure : AttemptResult::Success;
        running.endsAt = m_now + (hangs ? failsAfter : period(0.3));
        running.noResponseReportAt = m_balancers[gateway].nextNoResponseReport(chosen->id, m_now);
        if (hangs && repeatable) {
            running.retryAt = m_now + std::min(failsAfter, HedgeAfter);
        } else if (hangs) {
            noteLost(route);
        }
        m_running.push_back(running);
        if (running.retryAt) {
            m_retries.push_back(running);
        }
        if (chosen->wasUnused) {
            send(gateway, chosen->id, AttemptResult::Cancelled, 0, m_now);
        }
    }

    void noteLost(const HostRoute &route)
    {
        (isIdempotent(route.kind) ? m_idempotent : m_nonIdempotent).lost += 1;
    }

    // Sends requests again whose first attempt failed or hangs.
    void retryRequests()
    {
        std::erase_if(m_retries, [this](const Running &first) {
            if (*first.retryAt > m_now) {
                return false;
            }
            if (m_budgets[first.gateway].trySpend(m_now)) {
                startAttempt(first.gateway, *first.route, { first.target });
            } else {
                noteLost(*first.route);
            }
            return true;
        });
    }

    bool forgetsConnections(std::size_t index) const
    {
        return static_cast<double>(index) < m_plan.forgettingShare * static_cast<double>(m_plan.targets);
    }

    // Returns for how long the connection that a request uses was idle, or nothing if it needs a new one.
    std::optional<Duration> takeConnection(std::size_t gateway, std::size_t index)
    {
        const std::optional<Instant> idleSince = std::exchange(m_idleSince[gateway][index], std::nullopt);
        if (!idleSince || m_now - *idleSince > m_idleLimits[gateway].limit(m_now)) {
            return std::nullopt;
        }
        return m_now - *idleSince;
    }

    void resetRequest(std::size_t gateway, const TargetName &target)
    {
        AttemptOutcome end;
        end.result = AttemptResult::Reset;
        const std::optional<double> update = m_balancers[gateway].end(target, m_route, m_now, end, m_now);
        send(gateway, target, end.result, update.value_or(0), m_now);
    }

    void endAttempts()
    {
        for (Running &running : m_running) {
            TargetBalancer &balancer = m_balancers[running.gateway];
            if (running.endsAt > m_now && running.noResponseReportAt && *running.noResponseReportAt <= m_now) {
                const std::optional<double> update =
                    balancer.takeNoResponseEvidence(running.target, running.started, m_now);
                send(running.gateway, running.target, AttemptResult::Timeout, update.value_or(0), running.started);
                running.noResponseReportAt = balancer.nextNoResponseReport(running.target, running.started);
            }
            if (running.endsAt <= m_now) {
                AttemptOutcome end;
                end.result = running.result;
                end.latency = running.endsAt - running.started;
                const std::optional<double> update =
                    balancer.end(running.target, *running.route, running.started, end, m_now);
                if (update) {
                    send(running.gateway, running.target, running.result, *update, running.started);
                }
                if (running.result == AttemptResult::Success) {
                    m_idleSince[running.gateway][std::stoul(running.target.value().substr(1))] = m_now;
                }
            }
        }
        std::erase_if(m_running, [this](const Running &running) {
            return running.endsAt <= m_now;
        });
    }

    void sendUpdates()
    {
        for (std::size_t gateway = 0; gateway < m_plan.gateways; ++gateway) {
            for (const TargetBalancer::Update &update : m_balancers[gateway].takeUpdates()) {
                const AttemptResult result = update.responded ? AttemptResult::Success : AttemptResult::Cancelled;
                send(gateway, update.id, result, FaultModel::evidenceOf(result).logRatio(), update.usedAt);
            }
        }
    }

    void send(std::size_t from, const TargetName &target, AttemptResult result, double logRatio, Instant usedAt)
    {
        for (std::size_t to = 0; to < m_plan.gateways; ++to) {
            if (to != from && !std::bernoulli_distribution(m_plan.lostUpdates)(m_random)) {
                m_messages.push_back({ m_now + m_plan.updateDelay, to, target, result, logRatio, usedAt });
            }
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.front().at <= m_now) {
            const Message &message = m_messages.front();
            m_balancers[message.to].addRemoteEvidence(
                message.target, message.result, message.logRatio, message.usedAt, m_now);
            m_messages.pop_front();
        }
    }

    FleetPlan m_plan;
    std::mt19937_64 m_random;
    HostRoute m_route;
    HostRoute m_nonIdempotentRoute;
    std::vector<WindowBudget> m_budgets;
    std::vector<TargetBalancer> m_balancers;
    std::vector<std::vector<FaultPeriod>> m_faultPeriods; // of each target, in order
    std::vector<std::vector<Instant>> m_used;
    std::vector<IdleLimit> m_idleLimits; // each gateway's
    std::vector<std::vector<std::optional<Instant>>> m_idleSince; // each gateway's connection to each target
    std::vector<Running> m_running;
    std::vector<Running> m_retries; // first attempts that a second one is due for
    std::deque<Message> m_messages;
    Instant m_now = Start;
    double m_sent = 0;
    double m_hung = 0;
    Tally m_idempotent;
    Tally m_nonIdempotent;
};

constexpr Duration Settling = Seconds(2); // nothing is known of any target at first
constexpr double FloorShare = 0.7; // share of the targets that the platform's operators want in use in each two seconds

} // namespace

TEST_GROUP(TargetUse) {};

// Guards against a third of a service's healthy targets staying unused for two seconds, after which a tenth of the
// requests fails.
TEST(TargetUse, MostHealthyTargetsAreUsedInEachTwoSeconds)
{
    CHECK_TRUE(rc::check("use of targets", [] {
        FleetPlan plan;
        plan.gateways = *rc::gen::inRange<std::size_t>(2, 31);
        plan.targets = *rc::gen::inRange<std::size_t>(10, 121);
        plan.perSecond = static_cast<double>(plan.targets) * *rc::gen::inRange(4, 7);
        plan.faultyShare = *rc::gen::inRange(0, 40) / 100.0;
        plan.lostUpdates = *rc::gen::inRange(0, 10) / 100.0;
        plan.updateDelay = Millis(*rc::gen::inRange(1, 40));
        plan.seed = *rc::gen::arbitrary<std::uint64_t>();
        BalancedFleet fleet(plan);
        fleet.simulate(Seconds(8));
        RC_ASSERT(fleet.minUsedShare(Start + Settling) >= FloorShare);
    }));
}

// Guards against healthy targets staying unused because they failed some seconds ago.
TEST(TargetUse, RecoveredTargetsAreSoonUsedAgain)
{
    // More than three of ten healthy targets are then unused in one of a thousand cases.
    constexpr double MaxUnused = 0.05;
    constexpr int Seeds = 5;
    for (const std::size_t targets : { 11, 60 }) {
        for (const double faultyShare : { 0.08, 0.3 }) {
            double unused = 0;
            for (int seed = 1; seed <= Seeds; ++seed) {
                FleetPlan plan;
                plan.targets = targets;
                plan.perSecond = static_cast<double>(targets) * 4;
                plan.faultyShare = faultyShare;
                plan.seed = static_cast<std::uint64_t>(seed);
                BalancedFleet fleet(plan);
                fleet.simulate(Seconds(20));
                unused += fleet.unusedShare(Start + Settling) / Seeds;
            }
            CHECK(unused <= MaxUnused);
        }
    }
}

// Guards against the few healthy targets among many that appear faulty staying unused while idempotent requests could
// test them.
TEST(TargetUse, IdempotentRequestsUseAllTargetsWhileManyAreFaulty)
{
    // More than three of twelve targets are then unused in one of five hundred cases.
    constexpr double MaxUnused = 0.05;
    constexpr int Seeds = 5;
    double unused = 0;
    for (int seed = 1; seed <= Seeds; ++seed) {
        FleetPlan plan;
        plan.gateways = 4;
        plan.targets = 118;
        plan.perSecond = 150;
        plan.faultyShare = 0.5;
        plan.kind = RouteKind::Idempotent;
        plan.faultyTargetsReset = true;
        plan.seed = static_cast<std::uint64_t>(seed);
        BalancedFleet fleet(plan);
        fleet.simulate(Seconds(20));
        unused += fleet.unusedShareOfAll(Start + Settling) / Seeds;
    }
    CHECK(unused <= MaxUnused);
}

// Guards against targets that drop idle connections without notice getting no requests, because each request to a
// target that was unused goes over such a connection.
TEST(TargetUse, TargetsThatDropIdleConnectionsGetRequests)
{
    constexpr double MaxUnused = 0.05;
    constexpr int Seeds = 5;
    double unused = 0;
    for (int seed = 1; seed <= Seeds; ++seed) {
        FleetPlan plan;
        plan.targets = 80;
        plan.perSecond = 200;
        plan.faultyShare = 0;
        plan.forgettingShare = 0.5;
        plan.kind = RouteKind::Idempotent;
        plan.seed = static_cast<std::uint64_t>(seed);
        BalancedFleet fleet(plan);
        fleet.simulate(Seconds(20));
        unused += fleet.unusedShareOfAll(Start + Settling) / Seeds;
    }
    CHECK(unused <= MaxUnused);
}

// With 30% of the targets faulty, 22.5% of the requests would hang if all targets received the same share. Without
// no-response reports to the other proxies 6.2% hang, with them 4.1%; with six gateways instead of three 6.5%, since
// each of them observes less by itself.
TEST(TargetUse, FewRequestsGoToTargetsThatHang)
{
    double hung = 0;
    constexpr int Seeds = 10;
    for (int seed = 1; seed <= Seeds; ++seed) {
        FleetPlan plan;
        plan.seed = static_cast<std::uint64_t>(seed);
        BalancedFleet fleet(plan);
        fleet.simulate(Seconds(30));
        hung += fleet.hungShare() / Seeds;
    }
    CHECK(hung < 0.05);
}

namespace
{

// Results of several seeds of a fleet whose idempotent requests are tried twice.
struct Exploring {
    double doubtful = 0; // share of the idempotent requests that were first sent to a target believed to be faulty
    double lostIdempotent = 0; // share of the idempotent requests
    double lost = 0; // share of all requests
    double spansBelowFloor = 0; // share of the spans of two seconds
    double minUsed = 1; // least share of the healthy targets used in two seconds
};

// Simulates 8 gateways before targets that are faulty for 2.7 of 9 s on average and then fail 85% of their requests.
// They get 0.73 idempotent requests per target and second and 2.5 others, as the largest service of a deployment does.
FleetPlan exploringPlan(std::size_t targets)
{
    FleetPlan plan;
    plan.gateways = 8;
    plan.targets = targets;
    plan.perSecond = 0.73 * static_cast<double>(targets);
    plan.nonIdempotentPerSecond = 2.5 * static_cast<double>(targets);
    plan.faultSeconds = 2.7;
    plan.failureShare = 0.85;
    plan.kind = RouteKind::Idempotent;
    plan.faultyTargetsReset = true;
    plan.retries = true;
    return plan;
}

Exploring explore(FleetPlan plan, int seeds, Duration span)
{
    Exploring result;
    for (int seed = 1; seed <= seeds; ++seed) {
        plan.seed = static_cast<std::uint64_t>(seed);
        BalancedFleet fleet(plan);
        fleet.simulate(span);
        result.doubtful += fleet.doubtfulShare() / seeds;
        result.lostIdempotent += fleet.lostShare(RouteKind::Idempotent) / seeds;
        result.lost += fleet.lostShareOfAll() / seeds;
        result.spansBelowFloor += fleet.spansBelow(FloorShare, Start + Settling) / seeds;
        result.minUsed = std::min(result.minUsed, fleet.minUsedShare(Start + Settling));
    }
    return result;
}

} // namespace

// Guards against a fifth of the reads of a large service being reset by their first target, as with a trial of each
// target believed faulty every 1.6 s, and against lost reads whose second attempt is a trial as well.
TEST(TargetUse, FewReadsOfALargeServiceTestFaultyTargets)
{
    const Exploring result = explore(exploringPlan(280), 2, Seconds(10));
    CHECK(result.doubtful < 0.7 * 0.2);
    CHECK(result.lostIdempotent < 0.01);
    CHECK(result.minUsed >= FloorShare);
}

// Guards against the same in a small service, where one target that recovered a moment ago can be a third of the
// healthy ones.
TEST(TargetUse, FewReadsOfASmallServiceTestFaultyTargets)
{
    const Exploring result = explore(exploringPlan(12), 20, Seconds(20));
    CHECK(result.doubtful < 0.15);
    CHECK(result.lostIdempotent < 0.01);
    CHECK(result.spansBelowFloor < 0.01);
}

// Guards against recovered targets that hung staying unused: the last failure of a target is then noticed seconds after
// its last request.
TEST(TargetUse, TargetsThatHungAreUsedSoonAfterTheyRecovered)
{
    FleetPlan plan = exploringPlan(280);
    plan.faultyTargetsReset = false;
    const Exploring large = explore(plan, 2, Seconds(10));
    CHECK(large.minUsed >= FloorShare);
    plan = exploringPlan(12);
    plan.faultyTargetsReset = false;
    const Exploring few = explore(plan, 20, Seconds(20));
    CHECK(few.spansBelowFloor < 0.01);
}

// Guards against healthy targets staying unused while more than a tenth of the requests is lost.
TEST(TargetUse, AllTargetsAreTestedSoonWhileManyRequestsAreLost)
{
    FleetPlan plan = exploringPlan(280);
    plan.faultyShare = 0.6;
    plan.faultyTargetsReset = false;
    const Exploring result = explore(plan, 2, Seconds(10));
    CHECK(result.lost > 0.1);
    CHECK(result.minUsed >= 0.9);
}
