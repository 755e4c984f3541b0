// Evidence from the outcomes of attempts.
#include "mulberryplank/policy/targetbalancer.h"

#include <algorithm>
#include <array>

namespace mulberryplank
{

namespace internal
{

namespace
{

// The weight of the newest latency in a target's slowness, and the maximum that one latency counts as.
constexpr double SlownessWeight = 0.25;
constexpr double MaxSlowness = 12;
// The fault probabilities at which a target is reported as suspected, and below which it no longer is. The gap prevents
// a report with each response of a target that fails occasionally. Target selection uses the probability itself.
constexpr double SuspectedThreshold = 0.5;
constexpr double TrustedThreshold = 0.15;
// The shares of healthy targets' responses that take longer, at which a pending attempt without a response is reported
// to the other proxies. Two requests in five cost them a message, one in five a second one, and so on. At the steps the
// odds of a fault have grown about 2, 4, 10 and 35 times.
constexpr std::array<double, 4> NoResponseSteps { 0.4, 0.2, 0.07, 0.02 };

} // namespace

} // namespace internal

void TargetBalancer::updateEstimate(Entry &entry, AttemptResult result, double logRatio, Instant now)
{
    if (logRatio == 0) {
        return;
    }
    m_model.updateEstimate(entry.faultProbability, logRatio, now);
    double sum = 0;
    for (const auto &[id, other] : m_targets) {
        sum += m_model.faultProbabilityOf(other.faultProbability, now);
    }
    m_model.updateFaultyShare(sum / static_cast<double>(m_targets.size()));
    reportSuspicion(entry, result);
}

// Returns the share of a healthy target's responses that take longer than an attempt has been in progress.
double TargetBalancer::survivalOf(const PendingAttempt &pending, Instant now)
{
    const auto age = std::chrono::duration_cast<Duration>((now - pending.started) / pending.slowness);
    return pending.statistics->survival(age, pending.assumedMean);
}

// Returns the evidence that an attempt has no response by `now`, as a log ratio.
double TargetBalancer::noResponseEvidence(const PendingAttempt &pending, Instant now)
{
    return FaultModel::evidenceOfNoResponse(survivalOf(pending, now)).logRatio();
}

const TargetBalancer::PendingAttempt *TargetBalancer::pendingOf(const TargetName &id, Instant started) const
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return nullptr;
    }
    const std::vector<PendingAttempt> &all = found->second.pending;
    const auto pending = std::find_if(all.begin(), all.end(), [started](const PendingAttempt &candidate) {
        return candidate.started == started;
    });
    return pending == all.end() ? nullptr : &*pending;
}

TargetBalancer::PendingAttempt *TargetBalancer::pendingOf(const TargetName &id, Instant started)
{
    return const_cast<PendingAttempt *>(std::as_const(*this).pendingOf(id, started));
}

std::optional<Instant> TargetBalancer::nextNoResponseReport(const TargetName &id, Instant started) const
{
    const PendingAttempt *pending = pendingOf(id, started);
    if (pending == nullptr || pending->step >= internal::NoResponseSteps.size()) {
        return std::nullopt;
    }
    const std::optional<Duration> age = pending->statistics->quantile(1 - internal::NoResponseSteps.at(pending->step));
    if (!age) {
        return std::nullopt;
    }
    return started + std::chrono::duration_cast<Duration>(*age * pending->slowness);
}

std::optional<double> TargetBalancer::takeNoResponseEvidence(const TargetName &id, Instant started, Instant now)
{
    PendingAttempt *pending = pendingOf(id, started);
    if (pending == nullptr) {
        return std::nullopt;
    }
    ++pending->step;
    const double noResponse = noResponseEvidence(*pending, now);
    const double unreported = noResponse - pending->applied;
    pending->applied = noResponse;
    updateEstimate(m_targets.at(id), AttemptResult::Timeout, unreported, now);
    return unreported;
}

// Calls the hook if a target became suspected or is no longer suspected.
void TargetBalancer::reportSuspicion(Entry &entry, AttemptResult evidence)
{
    const double faultProbability = entry.faultProbability.value;
    const bool suspected =
        faultProbability >= (entry.suspected ? internal::TrustedThreshold : internal::SuspectedThreshold);
    if (suspected == entry.suspected) {
        return;
    }
    entry.suspected = suspected;
    if (m_suspicionChanged) {
        m_suspicionChanged(
            { entry.listed.target.id, entry.listed.target.failureDomain, suspected, faultProbability, evidence });
    }
}

void TargetBalancer::recordSuccess(Entry &entry, RouteStatistics &statistics, const AttemptOutcome &end, Instant now)
{
    const double seconds = toSeconds(end.latency);
    if (statistics.meanSeconds() > 0) {
        const double ratio = std::min(seconds / statistics.meanSeconds(), internal::MaxSlowness);
        const double before = slownessOf(entry, now);
        entry.slowness = before + internal::SlownessWeight * (ratio - before);
        entry.slownessAt = now;
    }
    statistics.add(end.latency, end.responseBytes);
}

std::optional<double> TargetBalancer::end(
    const TargetName &id, const HostRoute &route, Instant started, const AttemptOutcome &end, Instant now)
{
    const PendingAttempt *pendingAttempt = pendingOf(id, started);
    if (pendingAttempt == nullptr) {
        return std::nullopt;
    }
    const PendingAttempt pending = *pendingAttempt;
    Entry &entry = m_targets.at(id);
    entry.pending.erase(entry.pending.begin() + (pendingAttempt - entry.pending.data()));
    if (end.load) {
        const double total = static_cast<double>(end.load->running) + end.load->waiting;
        entry.othersLoad = std::max(total - static_cast<double>(entry.pending.size()), 0.0);
        entry.reportedAt = now;
    }
    if (end.result == AttemptResult::Success) {
        entry.lastResponse = now;
        recordSuccess(entry, m_routes[route.name], end, now);
        recordWork(route, pending, end);
    }
    // A cancelled attempt had no response until now.
    const bool cancelled = end.result == AttemptResult::Cancelled;
    if (!cancelled && end.result != AttemptResult::Success) {
        m_exploration.recordFailure(isIdempotent(route.kind), now);
    }
    const double all = cancelled ? noResponseEvidence(pending, now) : FaultModel::evidenceOf(end.result).logRatio();
    const double unreported = all - pending.applied;
    updateEstimate(entry, end.result, unreported, now);
    const bool canWait = end.result == AttemptResult::Success && pending.applied == 0;
    entry.responded = entry.responded || canWait;
    const bool localOnly = end.result == AttemptResult::Shed || end.result == AttemptResult::ConnectFailed;
    if (canWait || (localOnly && pending.applied == 0)) {
        return std::nullopt;
    }
    return unreported;
}

void TargetBalancer::addRemoteEvidence(
    const TargetName &id, AttemptResult result, double logRatio, Instant usedAt, Instant now)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        Entry &entry = found->second;
        entry.lastUsed = std::max(entry.lastUsed, usedAt);
        entry.lastResponse = result == AttemptResult::Success ? now : entry.lastResponse;
        updateEstimate(entry, result, logRatio, now);
    }
}

std::vector<TargetBalancer::Update> TargetBalancer::takeUpdates()
{
    std::vector<Update> unreported;
    for (auto &[id, entry] : m_targets) {
        if (entry.responded || entry.used) {
            unreported.push_back({ id, entry.responded, entry.lastUsed });
        }
        entry.responded = false;
        entry.used = false;
    }
    return unreported;
}

bool TargetBalancer::isLeaving(const TargetName &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() || found->second.isLeaving() || found->second.listed.keptUntil;
}

bool TargetBalancer::hasAttemptFromBefore(const TargetName &id, Instant instant) const
{
    const auto found = m_targets.find(id);
    return found != m_targets.end()
           && std::any_of(
               found->second.pending.begin(), found->second.pending.end(), [instant](const PendingAttempt &pending) {
                   return pending.started < instant;
               });
}

void TargetBalancer::markRemoved(const TargetName &id)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.removed = true;
    }
}

} // namespace mulberryplank
