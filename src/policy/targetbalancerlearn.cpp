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
constexpr double MostSlowness = 12;
// The fault probabilities at which a target is reported as suspected, and below which it no longer is. The gap prevents
// a report with each response of a target that fails occasionally. Target selection uses the probability itself.
constexpr double SuspectedFrom = 0.5;
constexpr double TrustedBelow = 0.15;
// The shares of healthy targets' responses that take longer, at which a pending attempt without a response is reported
// to the other proxies. Two requests in five cost them a message, one in five a second one, and so on. At the steps the
// odds of a fault have grown about 2, 4, 10 and 35 times.
constexpr std::array<double, 4> SilenceSteps { 0.4, 0.2, 0.07, 0.02 };

} // namespace

} // namespace internal

void TargetBalancer::learn(Entry &entry, AttemptResult result, double logRatio, Instant now)
{
    if (logRatio == 0) {
        return;
    }
    m_model.learn(entry.belief, logRatio, now);
    double sum = 0;
    for (const auto &[id, other] : m_targets) {
        sum += m_model.beliefOf(other.belief, now);
    }
    m_model.followMean(sum / static_cast<double>(m_targets.size()));
    tellSuspicion(entry, result);
}

// Returns the share of a healthy target's responses that take longer than an attempt has been in progress.
double TargetBalancer::survivalOf(const Pending &pending, Instant now)
{
    const auto age = std::chrono::duration_cast<Duration>((now - pending.started) / pending.slowness);
    return pending.statistics->survival(age, pending.assumedMean);
}

// Returns the evidence that an attempt has no response by `now`, as a log ratio.
double TargetBalancer::silenceOf(const Pending &pending, Instant now)
{
    return SicknessModel::evidenceOfSilence(survivalOf(pending, now)).logRatio();
}

const TargetBalancer::Pending *TargetBalancer::pendingOf(const TargetName &id, Instant started) const
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return nullptr;
    }
    const std::vector<Pending> &all = found->second.pending;
    const auto pending = std::find_if(all.begin(), all.end(), [started](const Pending &candidate) {
        return candidate.started == started;
    });
    return pending == all.end() ? nullptr : &*pending;
}

TargetBalancer::Pending *TargetBalancer::pendingOf(const TargetName &id, Instant started)
{
    return const_cast<Pending *>(std::as_const(*this).pendingOf(id, started));
}

std::optional<Instant> TargetBalancer::nextSilence(const TargetName &id, Instant started) const
{
    const Pending *pending = pendingOf(id, started);
    if (pending == nullptr || pending->step >= internal::SilenceSteps.size()) {
        return std::nullopt;
    }
    const std::optional<Duration> age = pending->statistics->quantile(1 - internal::SilenceSteps.at(pending->step));
    if (!age) {
        return std::nullopt;
    }
    return started + std::chrono::duration_cast<Duration>(*age * pending->slowness);
}

std::optional<double> TargetBalancer::takeSilence(const TargetName &id, Instant started, Instant now)
{
    Pending *pending = pendingOf(id, started);
    if (pending == nullptr) {
        return std::nullopt;
    }
    ++pending->step;
    const double silence = silenceOf(*pending, now);
    const double news = silence - pending->learnt;
    pending->learnt = silence;
    learn(m_targets.at(id), AttemptResult::Timeout, news, now);
    return news;
}

// Calls the hook if a target became suspected or is no longer suspected.
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
    if (statistics.meanSeconds() > 0) {
        const double ratio = std::min(seconds / statistics.meanSeconds(), internal::MostSlowness);
        const double before = slownessOf(entry, now);
        entry.slowness = before + internal::SlownessWeight * (ratio - before);
        entry.slownessAt = now;
    }
    statistics.add(end.latency, end.answerBytes);
}

std::optional<double> TargetBalancer::end(
    const TargetName &id, const HostRoute &route, Instant started, const AttemptEnd &end, Instant now)
{
    const Pending *under = pendingOf(id, started);
    if (under == nullptr) {
        return std::nullopt;
    }
    const Pending pending = *under;
    Entry &entry = m_targets.at(id);
    entry.pending.erase(entry.pending.begin() + (under - entry.pending.data()));
    if (end.load) {
        const double total = static_cast<double>(end.load->running) + end.load->waiting;
        entry.othersLoad = std::max(total - static_cast<double>(entry.pending.size()), 0.0);
        entry.reportedAt = now;
    }
    if (end.result == AttemptResult::Success) {
        entry.lastAnswer = now;
        noteSuccess(entry, m_routes[route.name], end, now);
    }
    // A cancelled attempt had no response until now.
    const bool silent = end.result == AttemptResult::Cancelled;
    const double all = silent ? silenceOf(pending, now) : SicknessModel::evidenceOf(end.result).logRatio();
    const double news = all - pending.learnt;
    learn(entry, end.result, news, now);
    const bool canWait = end.result == AttemptResult::Success && pending.learnt == 0;
    entry.answered = entry.answered || canWait;
    const bool ownWay = end.result == AttemptResult::Shed || end.result == AttemptResult::ConnectFailed;
    if (canWait || (ownWay && pending.learnt == 0)) {
        return std::nullopt;
    }
    return news;
}

void TargetBalancer::noteRemote(
    const TargetName &id, AttemptResult result, double logRatio, Instant usedAt, Instant now)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        Entry &entry = found->second;
        entry.lastUsed = std::max(entry.lastUsed, usedAt);
        entry.lastAnswer = result == AttemptResult::Success ? now : entry.lastAnswer;
        learn(entry, result, logRatio, now);
    }
}

std::vector<TargetBalancer::News> TargetBalancer::takeNews()
{
    std::vector<News> news;
    for (auto &[id, entry] : m_targets) {
        if (entry.answered || entry.used) {
            news.push_back({ id, entry.answered, entry.lastUsed });
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
