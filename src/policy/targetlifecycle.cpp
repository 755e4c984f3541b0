#include "mulberryplank/policy/targetlifecycle.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

constexpr double SuspectedFrom = 0.5; // of what ejects
constexpr double HealthyBelow = 0.2;
// A suspected target keeps most of its traffic at first. The number of hurt requests that it takes to be sure is the
// same at any rate, so that less traffic only makes for a later decision; a suspicion that lingers does lower the
// weight.
constexpr double InitialSuspectedWeight = 0.9;
constexpr double FinalSuspectedWeight = 0.3;
constexpr double SuspectedSeconds = 10;
constexpr double FloorHeldWeight = 0.05;
constexpr double InitialSlowStartWeight = 0.1;

// A trial passes when this many answers came, none in error, and their latencies speak for health.
constexpr std::uint32_t TrialAttempts = 8;
constexpr double TrialPassedLatency = -5;
constexpr double TrialFailedLatency = 2;

constexpr std::uint32_t MaxTimesEjected = 8;
constexpr Duration MinEjectionExpiry = Millis { 60'000 };
constexpr int EjectionExpiryFactor = 2;
constexpr double EjectionJitter = 0.1;

} // namespace internal

TargetLifecycle::TargetLifecycle(const LifecycleSettings &settings, bool cold, Instant now)
    : m_settings(settings)
    , m_phase(cold ? TargetPhase::SlowStart : TargetPhase::Healthy)
    , m_since(now)
{
}

void TargetLifecycle::setLeaving(bool leaving, Instant now)
{
    if (leaving == m_leaving) {
        return;
    }
    m_leaving = leaving;
    m_returning = false;
    enter(leaving ? TargetPhase::Draining : TargetPhase::SlowStart, now);
}

void TargetLifecycle::setCold(bool cold, Instant now)
{
    m_cold = cold;
    if (cold && (m_phase == TargetPhase::Healthy || m_phase == TargetPhase::SlowStart)) {
        enter(TargetPhase::SlowStart, now);
    }
}

std::optional<Event> TargetLifecycle::assess(const TargetAssessment &assessment, Instant now, std::mt19937_64 &random)
{
    m_waitsForFloor = assessment.faulty && !assessment.mayEject;
    m_mayReduceWeight = assessment.mayReduceWeight;
    expireEjections(now);
    switch (m_phase) {
    case TargetPhase::Healthy:
    case TargetPhase::Suspected:
        return inService(assessment, now, random);
    case TargetPhase::SlowStart:
        return inSlowStart(assessment, now, random);
    case TargetPhase::Ejected:
    case TargetPhase::Trial:
        if (!assessment.mayEject) {
            // The floor needs the target, or the other proxies no longer confirm the ejection. It has shown no health:
            // it comes back suspected, and stays so for as long as a slow start would take.
            m_suspectedUntil = now + m_settings.slowStart;
            enter(TargetPhase::Suspected, now);
            return Event::TargetReturned;
        }
        return outOfService(assessment, now, random);
    case TargetPhase::Draining:
        break;
    }
    return std::nullopt;
}

std::optional<Event> TargetLifecycle::inService(const TargetAssessment &assessment,
                                                Instant now,
                                                std::mt19937_64 &random)
{
    if (assessment.faulty && assessment.mayEject) {
        return eject(now, random);
    }
    const bool healthy = m_phase == TargetPhase::Healthy;
    if (healthy && (assessment.faulty || assessment.suspicion >= internal::SuspectedFrom)) {
        enter(TargetPhase::Suspected, now);
        return Event::TargetSuspected;
    }
    const bool clear = !assessment.faulty && assessment.suspicion < internal::HealthyBelow;
    if (!healthy && clear && now >= m_suspectedUntil) {
        enter(TargetPhase::Healthy, now);
    }
    return std::nullopt;
}

std::optional<Event> TargetLifecycle::outOfService(const TargetAssessment &assessment,
                                                   Instant now,
                                                   std::mt19937_64 &random)
{
    if (m_phase == TargetPhase::Ejected) {
        const bool over = assessment.mayStartTrial || now - m_since >= m_settings.maxEjection;
        if (now - m_since < m_ejectionLength || !over) {
            return std::nullopt;
        }
        enter(TargetPhase::Trial, now);
        m_trialAttempts = 0;
        m_trialLatency = 0;
        m_trialFailed = false;
        return Event::TargetOnTrial;
    }
    if (m_trialFailed || m_trialLatency >= internal::TrialFailedLatency) {
        return eject(now, random);
    }
    const bool enough = m_trialAttempts >= internal::TrialAttempts && m_trialLatency <= internal::TrialPassedLatency;
    if (enough || now - m_since >= m_settings.trialLimit) {
        m_returning = true;
        enter(TargetPhase::SlowStart, now);
        return Event::TargetReturned;
    }
    return std::nullopt;
}

std::optional<Event> TargetLifecycle::inSlowStart(const TargetAssessment &assessment,
                                                  Instant now,
                                                  std::mt19937_64 &random)
{
    if (assessment.faulty && assessment.mayEject) {
        return eject(now, random);
    }
    if (m_cold) {
        m_since = now;
        return std::nullopt;
    }
    if (now - m_since >= m_settings.slowStart) {
        m_returning = false;
        enter(TargetPhase::Healthy, now);
    }
    return std::nullopt;
}

Event TargetLifecycle::eject(Instant now, std::mt19937_64 &random)
{
    // A target that flaps would be let back in, hurt requests and be found again, over and over at the same rate.
    // Each ejection that isn't forgotten yet doubles the next, so that the harm dies down.
    m_timesEjected = std::min(m_timesEjected + 1, internal::MaxTimesEjected);
    const Duration doubled = m_settings.firstEjection * (1U << (m_timesEjected - 1));
    const Duration length = std::min(doubled, m_settings.maxEjection);
    std::uniform_real_distribution<double> spread(1 - internal::EjectionJitter, 1 + internal::EjectionJitter);
    m_ejectionLength = fromSeconds(toSeconds(length) * spread(random));
    m_ejectionExpiresAt =
        now + m_ejectionLength
        + std::max<Duration>(internal::MinEjectionExpiry, internal::EjectionExpiryFactor * m_ejectionLength);
    m_returning = false;
    enter(TargetPhase::Ejected, now);
    return Event::TargetEjected;
}

void TargetLifecycle::observeTrial(bool error, double latencyStep)
{
    ++m_trialAttempts;
    m_trialLatency += latencyStep;
    m_trialFailed = m_trialFailed || error;
}

void TargetLifecycle::failTrial()
{
    m_trialFailed = true;
}

TargetPhase TargetLifecycle::phase() const
{
    return m_phase;
}

double TargetLifecycle::weight(Instant now) const
{
    switch (m_phase) {
    case TargetPhase::Healthy:
        return 1;
    case TargetPhase::Suspected:
        if (!m_mayReduceWeight) {
            return 1;
        }
        return m_waitsForFloor ? internal::FloorHeldWeight : suspectedWeight(now);
    case TargetPhase::SlowStart: {
        const double progress = toSeconds(now - m_since) / toSeconds(m_settings.slowStart);
        const double grown = internal::InitialSlowStartWeight + (1 - internal::InitialSlowStartWeight) * progress;
        return std::clamp(grown, internal::InitialSlowStartWeight, 1.0);
    }
    case TargetPhase::Ejected:
    case TargetPhase::Trial:
    case TargetPhase::Draining:
        break;
    }
    return 0;
}

double TargetLifecycle::suspectedWeight(Instant now) const
{
    if (now < m_suspectedUntil) {
        return internal::FinalSuspectedWeight;
    }
    const double progress = std::min(1.0, toSeconds(now - m_since) / internal::SuspectedSeconds);
    const double range = internal::InitialSuspectedWeight - internal::FinalSuspectedWeight;
    return internal::InitialSuspectedWeight - range * progress;
}

bool TargetLifecycle::needsClaim() const
{
    return m_phase == TargetPhase::Ejected || m_phase == TargetPhase::Trial || m_returning;
}

bool TargetLifecycle::isUnavailable() const
{
    return m_phase == TargetPhase::Draining || (m_phase == TargetPhase::SlowStart && !m_returning);
}

bool TargetLifecycle::isCold() const
{
    return m_phase == TargetPhase::SlowStart && !m_returning;
}

std::uint32_t TargetLifecycle::timesEjected() const
{
    return m_timesEjected;
}

void TargetLifecycle::enter(TargetPhase phase, Instant now)
{
    m_phase = phase;
    m_since = now;
}

void TargetLifecycle::expireEjections(Instant now)
{
    if (m_timesEjected > 0 && m_phase == TargetPhase::Healthy && now >= m_ejectionExpiresAt) {
        --m_timesEjected;
        m_ejectionExpiresAt =
            now + std::max<Duration>(internal::MinEjectionExpiry, internal::EjectionExpiryFactor * m_ejectionLength);
    }
}

} // namespace mulberryplank
