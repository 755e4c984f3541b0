#include "mulberryplank/policy/exploration.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

namespace
{

// A target that isn't doubtful is due after this time. The platform's operators want 70% of the healthy targets in use
// in each two seconds, which leaves four tenths of a second to find a request for it.
constexpr Duration DueAfter = Millis(1'600);
// A doubtful target is due after these times, in services with few and with many targets. A target counts as non-faulty
// two seconds after it recovered, and should then get a request within two seconds. Among many targets, the few whose
// recovery is noticed later leave the used share above the one wanted; among few, a single one doesn't.
constexpr Duration DoubtfulDueAfterOfFew = Millis(2'400);
constexpr Duration DoubtfulDueAfterOfMany = Millis(4'400);
constexpr double FewTargets = 16;
constexpr double ManyTargets = 64;
// A doubtful target that has waited for this long after it was due is tested before likelier ones.
constexpr Duration OverdueGrace = Millis(400);
constexpr double DoubtfulProbability = 0.5;
// Above this, the target has failed within the last moment, and a response since may be to an earlier request.
constexpr double MaxRespondedProbability = 0.9;
// The share of the idempotent requests that test doubtful targets at most, while no requests are lost and while many
// are. The latter suffices to use each target soon after it is due.
constexpr double TrialShare = 0.2;
constexpr double UrgentTrialShare = 0.4;
// The share of the idempotent requests that are sent to other unused targets, and the same while these are more than
// that part of all targets. Such a request is expected to succeed, but may find a slow target.
constexpr double UnusedShare = 0.4;
constexpr double ManyUnusedShare = 0.8;
constexpr double ManyUnused = 0.1;
// The operators' rule on targets in use applies while more than a tenth of the requests is lost. Trials increase before
// that, from the first share to the second.
constexpr double FirstLostShare = 0.05;
constexpr double UrgentLostShare = 0.09;
// The share of slots in use from which recovered targets are needed for their capacity.
constexpr double FirstUtilization = 0.7;
constexpr double UrgentUtilization = 0.85;
constexpr double DecaySeconds = 3;
// Requests that are assumed to have been served, so that the first failures of a process aren't taken for a trend.
constexpr double AssumedServed = 10;
// A process with fewer recent requests that may test targets than this can't test any.
constexpr double MinTestRequests = 0.5;
// The share of the candidates that one is selected from at random, so that other processes with the same knowledge
// don't select the same one.
constexpr double BestShare = 0.125;

double interpolate(double from, double to, double position)
{
    return from + (to - from) * position;
}

double position(double value, double from, double to)
{
    return std::clamp((value - from) / (to - from), 0.0, 1.0);
}

bool likelierRecovered(const TrialCandidate &one, const TrialCandidate &other)
{
    return one.faultProbability < other.faultProbability;
}

bool longerUnused(const TrialCandidate &one, const TrialCandidate &other)
{
    return one.unusedFor > other.unusedFor;
}

// Returns the index of one of the first candidates in that order, or nothing if there are none.
std::optional<std::size_t> pickBest(std::vector<TrialCandidate> &candidates,
                                    bool (*isBefore)(const TrialCandidate &, const TrialCandidate &),
                                    std::mt19937_64 &random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto best = static_cast<std::size_t>(std::ceil(static_cast<double>(candidates.size()) * BestShare));
    std::shuffle(candidates.begin(), candidates.end(), random);
    std::partial_sort(
        candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(best), candidates.end(), isBefore);
    return candidates[std::uniform_int_distribution<std::size_t>(0, best - 1)(random)].index;
}

} // namespace

} // namespace internal

bool TrialCandidate::isDoubtful() const
{
    const bool isTrusted = hasResponded && faultProbability <= internal::MaxRespondedProbability;
    return faultProbability > internal::DoubtfulProbability && !isTrusted;
}

double Exploration::DecayingCount::count(Instant now) const
{
    return value * std::exp(-std::max(toSeconds(now - at), 0.0) / internal::DecaySeconds);
}

void Exploration::DecayingCount::add(Instant now)
{
    value = count(now) + 1;
    at = std::max(at, now);
}

void Exploration::recordAttempt(bool idempotent, bool isFirst, bool mayTest, Instant now)
{
    Requests &requests = idempotent ? m_idempotent : m_nonIdempotent;
    (isFirst ? requests.first : requests.repeated).add(now);
    if (mayTest) {
        m_testRequests.add(now);
    }
    m_lossUrgency = internal::position(lostShare(now), internal::FirstLostShare, internal::UrgentLostShare);
}

void Exploration::recordFailure(bool idempotent, Instant now)
{
    (idempotent ? m_idempotent : m_nonIdempotent).failed.add(now);
}

void Exploration::setService(std::size_t targets, double utilization)
{
    m_targets = static_cast<double>(targets);
    m_utilization = utilization;
}

// Returns the number of requests that failed with their last attempt: each other failed attempt was followed by a
// further one.
double Exploration::lost(const Requests &requests, Instant now)
{
    return std::max(requests.failed.count(now) - requests.repeated.count(now), 0.0);
}

double Exploration::lostShare(Instant now) const
{
    const double all = m_idempotent.first.count(now) + m_nonIdempotent.first.count(now) + internal::AssumedServed;
    return std::min((lost(m_idempotent, now) + lost(m_nonIdempotent, now)) / all, 1.0);
}

bool Exploration::hasTestRequests(Instant now) const
{
    return m_testRequests.count(now) >= internal::MinTestRequests;
}

// Returns 0 while the service loses few requests and has free capacity, up to 1 while recovered targets are needed.
double Exploration::urgency() const
{
    return std::max(m_lossUrgency,
                    internal::position(m_utilization, internal::FirstUtilization, internal::UrgentUtilization));
}

Duration Exploration::dueAfter(const TrialCandidate &candidate) const
{
    if (!candidate.isDoubtful()) {
        return internal::DueAfter;
    }
    const double latest =
        internal::interpolate(toSeconds(internal::DoubtfulDueAfterOfFew),
                              toSeconds(internal::DoubtfulDueAfterOfMany),
                              internal::position(m_targets, internal::FewTargets, internal::ManyTargets));
    return fromSeconds(internal::interpolate(latest, toSeconds(internal::DueAfter), urgency()));
}

Duration Exploration::overdueAfter(const TrialCandidate &candidate, Instant now) const
{
    if (!candidate.isDoubtful() || !hasTestRequests(now)) {
        return internal::DueAfter;
    }
    return dueAfter(candidate) + internal::OverdueGrace;
}

std::optional<std::size_t> Exploration::choose(const std::vector<TrialCandidate> &candidates, std::mt19937_64 &random)
{
    std::vector<TrialCandidate> doubtful;
    std::vector<TrialCandidate> overdue;
    std::vector<TrialCandidate> others;
    for (const TrialCandidate &candidate : candidates) {
        const Duration due = dueAfter(candidate);
        if (candidate.unusedFor <= due) {
            continue;
        }
        if (!candidate.isDoubtful()) {
            others.push_back(candidate);
        } else {
            (candidate.unusedFor > due + internal::OverdueGrace ? overdue : doubtful).push_back(candidate);
        }
    }
    const bool manyUnused = static_cast<double>(others.size()) > internal::ManyUnused * m_targets;
    double trialShare = 0;
    if (!overdue.empty()) {
        trialShare = internal::UrgentTrialShare;
    } else if (!doubtful.empty()) {
        trialShare = internal::interpolate(internal::TrialShare, internal::UrgentTrialShare, urgency());
    }
    const double draw = std::uniform_real_distribution<double>(0, 1)(random);
    if (draw < trialShare) {
        ++m_counts.doubtful;
        return overdue.empty() ? internal::pickBest(doubtful, internal::likelierRecovered, random)
                               : internal::pickBest(overdue, internal::longerUnused, random);
    }
    if (!others.empty() && draw - trialShare < (manyUnused ? internal::ManyUnusedShare : internal::UnusedShare)) {
        ++m_counts.others;
        return internal::pickBest(others, internal::longerUnused, random);
    }
    return std::nullopt;
}

const TrialCounts &Exploration::counts() const
{
    return m_counts;
}

} // namespace mulberryplank
