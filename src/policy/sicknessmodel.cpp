#include "mulberryplank/policy/sicknessmodel.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Failure shares by target health: a faulty target fails this share of its attempts, a healthy one these shares. Faults
// (resets, hangs, wrong bodies) are rare at a healthy target, error responses less so, and rejections mostly indicate
// load.
constexpr double SickFailures = 0.7;
constexpr double HealthyFaults = 0.005;
constexpr double HealthyErrors = 0.02;
constexpr double HealthySheds = 0.3;
// Time constant with which the estimate returns to the mean: faults that end by themselves last some seconds.
constexpr double DriftSeconds = 6;
// The initial share of faulty targets, its bounds, and how much each piece of evidence moves it.
constexpr double FirstSickShare = 0.08;
constexpr double LeastSickShare = 0.02;
constexpr double MostSickShare = 0.4;
constexpr double SickShareWeight = 0.02;
constexpr double MostBelief = 0.98;
constexpr double LeastBelief = 0.002;

} // namespace

} // namespace internal

double SicknessEvidence::logRatio() const
{
    return std::log(ifSick / ifHealthy);
}

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

double SicknessModel::failureRisk(double belief)
{
    return belief * internal::SickFailures;
}

SicknessEvidence SicknessModel::evidenceOf(AttemptResult result)
{
    if (isFault(result)) {
        return { internal::HealthyFaults, internal::SickFailures };
    }
    switch (result) {
    case AttemptResult::ServerError:
        return { internal::HealthyErrors, internal::SickFailures };
    case AttemptResult::Shed:
        return { internal::HealthySheds, internal::SickFailures };
    case AttemptResult::Success:
        return { 1 - internal::HealthyErrors, 1 - internal::SickFailures };
    default:
        return {};
    }
}

SicknessEvidence SicknessModel::evidenceOfSilence(double survival)
{
    return { survival, internal::SickFailures + (1 - internal::SickFailures) * survival };
}

double SicknessModel::beliefAfter(const SicknessBelief &belief, double logRatio, Instant now) const
{
    const double before = beliefOf(belief, now);
    const double sick = before * std::exp(logRatio);
    return std::clamp(sick / (sick + 1 - before), internal::LeastBelief, internal::MostBelief);
}

void SicknessModel::learn(SicknessBelief &belief, double logRatio, Instant now) const
{
    belief.value = beliefAfter(belief, logRatio, now);
    belief.at = now;
}

void SicknessModel::followMean(double meanBelief)
{
    m_sickShare += internal::SickShareWeight * (meanBelief - m_sickShare);
    m_sickShare = std::clamp(m_sickShare, internal::LeastSickShare, internal::MostSickShare);
}

} // namespace mulberryplank
