// What is learnt from the ends of attempts.
#include "mulberryplank/policy/targetbalancer.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// The weight of the newest latency in a target's slowness, and the most that one latency counts as.
constexpr double SlownessWeight = 0.25;
constexpr double MostSlowness = 12;
// Beliefs from which on a target is told as suspected, and below which it no longer is: apart, so that a target which
// fails now and then isn't told of at each answer. Choices go by the belief itself.
constexpr double SuspectedFrom = 0.5;
constexpr double TrustedBelow = 0.15;
constexpr double RouteMeanWeight = 0.05;
constexpr float SampleWindow = 400; // latencies; then the older ones lose half of their weight

} // namespace

} // namespace internal

void TargetBalancer::learn(Entry &entry, AttemptResult result, Instant now)
{
    if (!m_model.learn(entry.belief, result, now)) {
        return;
    }
    double sum = 0;
    for (const auto &[id, other] : m_targets) {
        sum += m_model.beliefOf(other.belief, now);
    }
    m_model.followMean(sum / static_cast<double>(m_targets.size()));
    tellSuspicion(entry, result);
}

// Tells of a target that has come under suspicion or out of it.
void TargetBalancer::tellSuspicion(Entry &entry, AttemptResult evidence)
{
    const double belief = entry.belief.value;
    const bool suspected = belief >= (entry.suspected ? internal::TrustedBelow : internal::SuspectedFrom);
    if (suspected == entry.suspected) {
        return;
    }
    entry.suspected = suspected;
    if (m_suspicionChanged) {
        m_suspicionChanged({ entry.listed.target.id, entry.listed.target.failureDomain, suspected, belief, evidence });
    }
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

} // namespace mulberryplank
