#include "mulberryplank/policy/sicknessmodel.h"

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

// How likely an attempt's end is.
struct Likelihood {
    double healthy = 1;
    double sick = 1;
};

Likelihood likelihoodOf(AttemptResult result)
{
    if (isFault(result)) {
        return { HealthyFaults, SickFailures };
    }
    switch (result) {
    case AttemptResult::ServerError:
        return { HealthyErrors, SickFailures };
    case AttemptResult::Shed:
        return { HealthySheds, SickFailures };
    case AttemptResult::Success:
        return { 1 - HealthyErrors, 1 - SickFailures };
    default:
        return {};
    }
}

} // namespace

} // namespace internal

SicknessModel::SicknessModel()
    : m_sickShare(internal::FirstSickShare)
{
}

double SicknessModel::beliefOf(const SicknessBelief &belief, Instant now) const
{
    if (belief.value < 0) {
        return m_sickShare;
    }
    const double left = std::exp(-std::max(toSeconds(now - belief.at), 0.0) / internal::DriftSeconds);
    return m_sickShare + (belief.value - m_sickShare) * left;
}

double SicknessModel::failureRisk(const SicknessBelief &belief, Instant now) const
{
    return beliefOf(belief, now) * internal::SickFailures;
}

bool SicknessModel::learn(SicknessBelief &belief, AttemptResult result, Instant now) const
{
    if (result == AttemptResult::Cancelled) {
        return false;
    }
    const internal::Likelihood likelihood = internal::likelihoodOf(result);
    const double before = beliefOf(belief, now);
    const double sick = before * likelihood.sick;
    const double after = sick / (sick + (1 - before) * likelihood.healthy);
    belief.value = std::clamp(after, internal::LeastBelief, internal::MostBelief);
    belief.at = now;
    return true;
}

void SicknessModel::followMean(double meanBelief)
{
    m_sickShare += internal::SickShareWeight * (meanBelief - m_sickShare);
    m_sickShare = std::clamp(m_sickShare, internal::LeastSickShare, internal::MostSickShare);
}

} // namespace mulberryplank
