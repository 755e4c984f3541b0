#include "mulberryplank/policy/faultmodel.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

namespace
{

// The model of health: a faultyOdds target fails this share of its attempts, a healthy one these shares. Faults
// (resets, hangs, wrong bytes) are rare in health, error answers less so, and refusals are mostly a matter of load.
constexpr double FaultyFailures = 0.7;
constexpr double HealthyFaults = 0.005;
constexpr double HealthyErrors = 0.02;
constexpr double HealthySheds = 0.3;
// How fast a target's health is forgotten: sicknesses that pass by themselves last some seconds.
constexpr double DriftSeconds = 6;
// The share of faultyOdds targets that is assumed at first, its bounds, and how much each piece of evidence moves it.
constexpr double InitialFaultyShare = 0.08;
constexpr double MinFaultyShare = 0.02;
constexpr double MaxFaultyShare = 0.4;
constexpr double FaultyShareWeight = 0.02;
constexpr double MaxProbability = 0.98;
constexpr double MinProbability = 0.002;

} // namespace

} // namespace internal

double FaultEvidence::logRatio() const
{
    return std::log(ifFaulty / ifHealthy);
}

FaultModel::FaultModel()
    : m_faultyShare(internal::InitialFaultyShare)
{
}

double FaultModel::faultProbabilityOf(const FaultEstimate &estimate, Instant now) const
{
    if (estimate.value < 0) {
        return m_faultyShare;
    }
    const double left = std::exp(-std::max(toSeconds(now - estimate.at), 0.0) / internal::DriftSeconds);
    return m_faultyShare + (estimate.value - m_faultyShare) * left;
}

double FaultModel::failureRisk(double estimate)
{
    return estimate * internal::FaultyFailures;
}

FaultEvidence FaultModel::evidenceOf(AttemptResult result)
{
    if (isFault(result)) {
        return { internal::HealthyFaults, internal::FaultyFailures };
    }
    switch (result) {
    case AttemptResult::ServerError:
        return { internal::HealthyErrors, internal::FaultyFailures };
    case AttemptResult::Shed:
        return { internal::HealthySheds, internal::FaultyFailures };
    case AttemptResult::Success:
        return { 1 - internal::HealthyErrors, 1 - internal::FaultyFailures };
    default:
        return {};
    }
}

FaultEvidence FaultModel::evidenceOfNoResponse(double survival)
{
    return { survival, internal::FaultyFailures + (1 - internal::FaultyFailures) * survival };
}

double FaultModel::probabilityAfter(const FaultEstimate &estimate, double logRatio, Instant now) const
{
    const double before = faultProbabilityOf(estimate, now);
    const double faultyOdds = before * std::exp(logRatio);
    return std::clamp(faultyOdds / (faultyOdds + 1 - before), internal::MinProbability, internal::MaxProbability);
}

void FaultModel::updateEstimate(FaultEstimate &estimate, double logRatio, Instant now) const
{
    estimate.value = probabilityAfter(estimate, logRatio, now);
    estimate.at = now;
}

void FaultModel::updateFaultyShare(double meanProbability)
{
    m_faultyShare += internal::FaultyShareWeight * (meanProbability - m_faultyShare);
    m_faultyShare = std::clamp(m_faultyShare, internal::MinFaultyShare, internal::MaxFaultyShare);
}

} // namespace mulberryplank
