#include "mulberryplank/policy/targetbalancer.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

namespace
{

// The model of health: a sick target fails this share of its attempts, a healthy one these shares. Faults (resets,
// hangs, wrong bytes) are rare in health, error answers less so, and refusals are mostly a matter of load.
constexpr double SickFailures = 0.7;
constexpr double HealthyFaults = 0.005;
constexpr double HealthyErrors = 0.02;
constexpr double HealthySheds = 0.3;
// How fast a target's health is forgotten: sicknesses that pass by themselves last some seconds.
constexpr double DriftSeconds = 6;
// The share of sick targets that is assumed at first, its bounds, and how much each piece of evidence moves it.
constexpr double FirstSickShare = 0.08;
constexpr double LeastSickShare = 0.02;
constexpr double MostSickShare = 0.4;
constexpr double SickShareWeight = 0.02;
constexpr double MostBelief = 0.98;
constexpr double LeastBelief = 0.002;
// What a failure costs a request, in multiples of its target latency: one that may run once is lost with it; another
// one loses the time until it is sent again.
constexpr double OnceFailureCost = 1.5;
constexpr double IdempotentFailureCost = 0.2;
// From how many expected answer times on, summed over the requests waiting at a target that has answered none of them,
// silence counts as a sign of a fault. Answer times vary by a factor of two or three in health.
constexpr double SilenceFrom = 2.5;
constexpr double SilenceScale = 2;
// A target whose heartbeat is this many intervals late is likelier than others to be down.
constexpr double LateHeartbeats = 2.2;
constexpr double LateHeartbeatRisk = 0.3;
// A reported load has lost two thirds of its worth after this time.
constexpr double ReportFadeSeconds = 0.5;
// The weight of the newest latency in a target's slowness, and how fast an old slowness is forgotten, so that a target
// that was slow is tried again.
constexpr double SlownessWeight = 0.25;
constexpr double SlownessFadeSeconds = 4;
constexpr double MostSlowness = 12;
constexpr double ColdSlowness = 2; // of a target that is warming up
// The part of a request's time by which a target slows down on its way to full.
constexpr double CrowdingCost = 0.3;
constexpr double RouteMeanWeight = 0.05;
constexpr double FirstMeanPart = 0.3; // of the target latency: the mean assumed before any answer
constexpr float LeastSamples = 20;
constexpr float SampleWindow = 400;
// Of a service's requests, within two seconds, from which share on that fail (and from how many on) its requests are
// spread over unused targets: a fault of that size mostly hits a tenth of the targets or more.
constexpr double ManyFailures = 0.06;
constexpr double LeastFailures = 3;
constexpr Duration EndsBucket = Millis(500);
// Then this share of requests goes to targets without a request for so long, while more than so large a part of the
// targets is unused.
constexpr double SpreadShare = 0.25;
constexpr Duration UnusedAfter = Millis(1'300);
constexpr double UnusedShare = 0.2;
// The same while few requests fail, of requests that may run more than once: one that fails there is sent again.
constexpr double UnusedShareInHealth = 0.25;
// What a target that nobody has used for a while is preferred by, in parts of a request's time, and after how long:
// what is known of it grows old, and a service's targets stay in use all alike. As large as what the growing doubt
// costs.
constexpr double IdlePreference = 0.12;
constexpr double IdleSeconds = 1.5;
constexpr double JitterSeconds = 0.008; // spreads choices among targets that are alike
// How much longer a request is assumed to take at a target by an offset that each process draws for itself, up to this
// part of its time: processes that believe the same would otherwise all go to the same target in the same moment, and
// leave others without a request.
constexpr double MostOffset = 0.15;
// A new connection's round trips and its bill; above the offset, so that connections at hand are used first.
constexpr double ConnectSeconds = 0.05;

double fade(double seconds, double scale)
{
    return std::exp(-std::max(seconds, 0.0) / scale);
}

bool isFault(AttemptResult result)
{
    switch (result) {
    case AttemptResult::ConnectFailed:
    case AttemptResult::Timeout:
    case AttemptResult::Stalled:
    case AttemptResult::Truncated:
    case AttemptResult::Mismatched:
    case AttemptResult::Reset:
        return true;
    default:
        return false;
    }
}

} // namespace

} // namespace internal

TargetBalancer::TargetBalancer(BalancerSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_sickShare(internal::FirstSickShare)
{
}

void TargetBalancer::configure(const std::vector<ListedTarget> &targets)
{
    std::unordered_map<TargetName, Entry> kept;
    for (const ListedTarget &listed : targets) {
        const auto found = m_targets.find(listed.target.id);
        Entry entry;
        if (found != m_targets.end()) {
            entry = std::move(found->second);
        } else {
            entry.offset = std::uniform_real_distribution<double>(0, internal::MostOffset)(m_random);
        }
        entry.listed = listed;
        kept.emplace(listed.target.id, std::move(entry));
    }
    m_targets = std::move(kept);
}

void TargetBalancer::setListFresh(bool fresh)
{
    m_listFresh = fresh;
}

const TargetBalancer::RouteStatistics &TargetBalancer::statisticsOf(const HostRoute &route) const
{
    static const RouteStatistics None;
    const auto found = m_routes.find(route.name);
    return found == m_routes.end() ? None : found->second;
}

double TargetBalancer::silenceRisk(const Entry &entry, Instant now) const
{
    double waited = 0;
    for (const Pending &pending : entry.pending) {
        const Duration since = now - std::max(pending.started, entry.lastAnswer);
        waited += toSeconds(since) / pending.expectedSeconds;
    }
    if (waited <= internal::SilenceFrom) {
        return 0;
    }
    return 1 - internal::fade(waited - internal::SilenceFrom, internal::SilenceScale);
}

double TargetBalancer::beliefOf(const Entry &entry, Instant now) const
{
    if (entry.belief < 0) {
        return m_sickShare;
    }
    const double left = internal::fade(toSeconds(now - entry.beliefAt), internal::DriftSeconds);
    return m_sickShare + (entry.belief - m_sickShare) * left;
}

double TargetBalancer::riskOf(const Entry &entry, Instant now) const
{
    double risk = beliefOf(entry, now) * internal::SickFailures;
    risk = std::max(risk, silenceRisk(entry, now));
    const Duration late = std::chrono::duration_cast<Duration>(m_settings.heartbeat * internal::LateHeartbeats);
    if (m_listFresh && now - entry.listed.lastHeartbeat > late) {
        risk = std::max(risk, internal::LateHeartbeatRisk);
    }
    return risk;
}

double TargetBalancer::loadOf(const Entry &entry, Instant now) const
{
    const double others =
        entry.othersLoad * internal::fade(toSeconds(now - entry.reportedAt), internal::ReportFadeSeconds);
    return static_cast<double>(entry.pending.size()) + others;
}

double TargetBalancer::slownessOf(const Entry &entry, Instant now) const
{
    const double left = internal::fade(toSeconds(now - entry.slownessAt), internal::SlownessFadeSeconds);
    const double slowness = 1 + (entry.slowness - 1) * left;
    return now < entry.listed.warmAt ? std::max(slowness, internal::ColdSlowness) : slowness;
}

double TargetBalancer::expectedSeconds(const Entry &entry, double meanSeconds, Instant now) const
{
    const double slots = std::max(1U, entry.listed.target.slots);
    const double load = loadOf(entry, now);
    const double crowding = internal::CrowdingCost * std::min(load / slots, 1.0);
    const double waiting = std::max(load + 1 - slots, 0.0) / slots;
    return meanSeconds * slownessOf(entry, now) * (1 + crowding + waiting);
}

double TargetBalancer::costOf(const Entry &entry,
                              const HostRoute &route,
                              const RouteStatistics &statistics,
                              Instant now) const
{
    const double target = toSeconds(route.targetLatency);
    const double mean = statistics.meanSeconds > 0 ? statistics.meanSeconds : target * internal::FirstMeanPart;
    const double failureCost =
        target * (isIdempotent(route.kind) ? internal::IdempotentFailureCost : internal::OnceFailureCost);
    const double idle = std::min(toSeconds(now - entry.lastUsed) / internal::IdleSeconds, 1.0);
    double cost = expectedSeconds(entry, mean, now) + riskOf(entry, now) * failureCost;
    cost += mean * (entry.offset - internal::IdlePreference * idle);
    if (entry.listed.target.failureDomain != m_settings.ownDomain) {
        cost += toSeconds(m_settings.crossDomainRoundTrip) + statistics.meanBytes / m_settings.bytesPerMilli / 1000;
    }
    return cost;
}

std::optional<ChosenTarget> TargetBalancer::choose(const ChooseTarget &wanted, Instant now)
{
    const RouteStatistics &statistics = statisticsOf(*wanted.route);
    std::uniform_real_distribution<double> jitter(0, internal::JitterSeconds);
    if (const Entry *unused = chooseUnused(wanted, now)) {
        return chosen(*unused, *wanted.route, now);
    }
    const Entry *best = nullptr;
    double bestCost = 0;
    for (const auto &[id, entry] : m_targets) {
        if (!mayTake(entry, wanted)) {
            continue;
        }
        const bool connected = !wanted.connected || wanted.connected(entry.listed.target.endpoint);
        const double cost = costOf(entry, *wanted.route, statistics, now) + jitter(m_random)
                            + (connected ? 0 : internal::ConnectSeconds);
        if (best == nullptr || cost < bestCost) {
            best = &entry;
            bestCost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return chosen(*best, *wanted.route, now);
}

bool TargetBalancer::mayTake(const Entry &entry, const ChooseTarget &wanted) const
{
    const std::vector<TargetName> &excluded = wanted.excluded;
    const TargetName &id = entry.listed.target.id;
    const bool tried = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
    return !tried && !entry.gone && !entry.listed.target.draining;
}

ChosenTarget TargetBalancer::chosen(const Entry &entry, const HostRoute &route, Instant now) const
{
    ChosenTarget result;
    result.id = entry.listed.target.id;
    result.endpoint = entry.listed.target.endpoint;
    result.risk = riskOf(entry, now);
    result.load = loadOf(entry, now);
    result.expectedMillis = expectedSeconds(entry, statisticsOf(route).meanSeconds, now) * 1000;
    result.loadAge = now - entry.reportedAt;
    return result;
}

void TargetBalancer::noteRequestEnd(bool served, Instant now)
{
    const std::int64_t bucket = now.time_since_epoch() / internal::EndsBucket;
    Ends &ends = m_ends.at(static_cast<std::size_t>(bucket) % m_ends.size());
    if (ends.bucket != bucket) {
        ends = Ends { bucket, 0, 0 };
    }
    ++(served ? ends.served : ends.failed);
}

bool TargetBalancer::manyFail(Instant now) const
{
    const std::int64_t bucket = now.time_since_epoch() / internal::EndsBucket;
    double served = 0;
    double failed = 0;
    for (const Ends &ends : m_ends) {
        if (bucket - ends.bucket < static_cast<std::int64_t>(m_ends.size())) {
            served += ends.served;
            failed += ends.failed;
        }
    }
    return failed >= internal::LeastFailures && failed > internal::ManyFailures * (served + failed);
}

// Returns a target that hasn't been used for a while if it is time to use one, else nullptr.
const TargetBalancer::Entry *TargetBalancer::chooseUnused(const ChooseTarget &wanted, Instant now)
{
    const bool many = manyFail(now);
    if ((!many && !isIdempotent(wanted.route->kind)) || !std::bernoulli_distribution(internal::SpreadShare)(m_random)) {
        return nullptr;
    }
    const double mostUnused = many ? internal::UnusedShare : internal::UnusedShareInHealth;
    std::size_t takeWork = 0;
    std::vector<const Entry *> unused;
    for (const auto &[id, entry] : m_targets) {
        if (entry.gone || entry.listed.target.draining) {
            continue;
        }
        const bool near = entry.listed.target.failureDomain == m_settings.ownDomain;
        if (wanted.route->kind == RouteKind::LargeAnswer && !near) {
            continue; // the bill would outweigh what is learnt
        }
        ++takeWork;
        if (now - entry.lastUsed > internal::UnusedAfter && mayTake(entry, wanted)) {
            unused.push_back(&entry);
        }
    }
    if (static_cast<double>(unused.size()) <= mostUnused * static_cast<double>(takeWork)) {
        return nullptr;
    }
    // Those that seem well go first, in no order that other proxies would follow as well.
    const std::size_t half = (unused.size() + 1) / 2;
    std::shuffle(unused.begin(), unused.end(), m_random);
    std::partial_sort(unused.begin(),
                      unused.begin() + static_cast<std::ptrdiff_t>(half),
                      unused.end(),
                      [this, now](const Entry *one, const Entry *other) {
                          return beliefOf(*one, now) < beliefOf(*other, now);
                      });
    return unused[std::uniform_int_distribution<std::size_t>(0, half - 1)(m_random)];
}

void TargetBalancer::begin(const TargetName &id, const HostRoute &route, Instant now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    const double mean = statisticsOf(route).meanSeconds;
    const double assumed = toSeconds(route.targetLatency) * internal::FirstMeanPart;
    const double expected = (mean > 0 ? mean : assumed) * slownessOf(found->second, now);
    found->second.pending.push_back({ now, std::max(expected, 1e-3) });
    found->second.lastUsed = now;
    found->second.used = true;
}

// Takes in how an attempt ended, by Bayes' rule.
void TargetBalancer::learn(Entry &entry, AttemptResult result, Instant now)
{
    double healthy = 1 - internal::HealthyErrors;
    double sick = 1 - internal::SickFailures;
    if (internal::isFault(result)) {
        healthy = internal::HealthyFaults;
        sick = internal::SickFailures;
    } else if (result == AttemptResult::ServerError) {
        healthy = internal::HealthyErrors;
        sick = internal::SickFailures;
    } else if (result == AttemptResult::Shed) {
        healthy = internal::HealthySheds;
        sick = internal::SickFailures;
    } else if (result != AttemptResult::Success) {
        return;
    }
    const double before = beliefOf(entry, now);
    const double after = before * sick / (before * sick + (1 - before) * healthy);
    entry.belief = std::clamp(after, internal::LeastBelief, internal::MostBelief);
    entry.beliefAt = now;
    double sum = 0;
    for (const auto &[id, other] : m_targets) {
        sum += beliefOf(other, now);
    }
    const double mean = sum / static_cast<double>(m_targets.size());
    m_sickShare += internal::SickShareWeight * (mean - m_sickShare);
    m_sickShare = std::clamp(m_sickShare, internal::LeastSickShare, internal::MostSickShare);
}

void TargetBalancer::noteSuccess(Entry &entry, RouteStatistics &statistics, const AttemptEnd &end, Instant now)
{
    const double seconds = toSeconds(end.latency);
    entry.answered = true;
    if (statistics.meanSeconds > 0) {
        const double ratio = std::min(seconds / statistics.meanSeconds, internal::MostSlowness);
        const double before = slownessOf(entry, now);
        entry.slowness = before + internal::SlownessWeight * (ratio - before);
        entry.slownessAt = now;
    }
    if (statistics.latencies.total() >= internal::SampleWindow) {
        statistics.latencies.fade(0.5F);
    }
    statistics.latencies.add(LatencyHistogram::classOf(end.latency));
    const bool first = statistics.meanSeconds <= 0;
    const double weight = first ? 1 : internal::RouteMeanWeight;
    statistics.meanSeconds += weight * (seconds - statistics.meanSeconds);
    statistics.meanBytes += weight * (static_cast<double>(end.answerBytes) - statistics.meanBytes);
}

void TargetBalancer::end(
    const TargetName &id, const HostRoute &route, Instant started, const AttemptEnd &end, Instant now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    Entry &entry = found->second;
    const auto pending = std::find_if(entry.pending.begin(), entry.pending.end(), [started](const Pending &candidate) {
        return candidate.started == started;
    });
    if (pending != entry.pending.end()) {
        entry.pending.erase(pending);
    }
    if (end.load) {
        const double total = static_cast<double>(end.load->running) + end.load->waiting;
        entry.othersLoad = std::max(total - static_cast<double>(entry.pending.size()), 0.0);
        entry.reportedAt = now;
    }
    if (end.result == AttemptResult::Success) {
        entry.lastAnswer = now;
        noteSuccess(entry, m_routes[route.name], end, now);
    }
    learn(entry, end.result, now);
    if (end.result == AttemptResult::ServerError || end.result == AttemptResult::Shed) {
        entry.lastAnswer = now;
    }
}

void TargetBalancer::noteRemote(const TargetName &id, AttemptResult result, Instant now)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.lastUsed = now;
        learn(found->second, result, now);
    }
}

std::vector<TargetBalancer::News> TargetBalancer::takeNews()
{
    std::vector<News> news;
    for (auto &[id, entry] : m_targets) {
        if (entry.answered || entry.used) {
            news.push_back({ id, entry.answered });
        }
        entry.answered = false;
        entry.used = false;
    }
    return news;
}

void TargetBalancer::noteGone(const TargetName &id)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.gone = true;
    }
}

std::optional<Duration> TargetBalancer::latencyQuantile(const HostRoute &route, double share) const
{
    const RouteStatistics &statistics = statisticsOf(route);
    if (statistics.latencies.total() < internal::LeastSamples) {
        return std::nullopt;
    }
    return statistics.latencies.quantile(share);
}

std::vector<BalancedTarget> TargetBalancer::dump(Instant now) const
{
    std::vector<BalancedTarget> result;
    for (const auto &[id, entry] : m_targets) {
        result.push_back({ entry.listed.target,
                           static_cast<std::uint32_t>(entry.pending.size()),
                           riskOf(entry, now),
                           loadOf(entry, now),
                           slownessOf(entry, now) });
    }
    return result;
}

} // namespace mulberryplank
