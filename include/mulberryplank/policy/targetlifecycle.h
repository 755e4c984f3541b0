#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "mulberryplank/base/event.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

struct LifecycleSettings {
    Duration firstEjection = Millis { 5'000 }; // doubled for each further one
    Duration maxEjection = Millis { 300'000 };
    Duration slowStart = Millis { 10'000 };
    Duration trialLimit = Millis { 30'000 }; // a trial that nothing tested ends as passed
};

// What is thought of a target at one tick.
struct TargetAssessment {
    double suspicion = 0; // as a share of what ejects: 1 and up is faulty
    bool faulty = false; // enough to eject
    bool mayEject = false; // the floor allows it now
    bool mayReduceWeight = true; // its weight may be lowered
    bool mayStartTrial = true; // an ejection that has lasted long enough may end in a trial
};

// Leads one target through its phases: less weight, ejection, trial, slow start. Not synchronized.
class TargetLifecycle
{
public:
    // A cold target begins with slow start.
    TargetLifecycle(const LifecycleSettings &settings, bool cold, Instant now);

    void setLeaving(bool leaving, Instant now);

    // A target that is cold by its own word stays at the beginning of its slow start.
    void setCold(bool cold, Instant now);

    // Moves on by one tick; returns what happened, if anything. `random` spreads the length of ejections.
    std::optional<Event> assess(const TargetAssessment &assessment, Instant now, std::mt19937_64 &random);

    // Takes in the outcome of a request on trial; `latencyStep` is Detector::latencyStep(). To be called in Trial only.
    void observeTrial(bool error, double latencyStep);

    // Ends a trial as failed: its request hangs.
    void failTrial();

    TargetPhase phase() const;

    // Returns the share of normal traffic at `now`.
    double weight(Instant now) const;

    // Returns true from ejection until the end of the slow start that follows.
    bool needsClaim() const;

    // Returns true while the target can't be counted on for reasons other than ejection.
    bool isUnavailable() const;

    // Returns true while latencies may be raised for a good reason.
    bool isCold() const;

    // Returns how many ejections still count for the length of the next.
    std::uint32_t timesEjected() const;

private:
    std::optional<Event> inService(const TargetAssessment &assessment, Instant now, std::mt19937_64 &random);
    std::optional<Event> outOfService(const TargetAssessment &assessment, Instant now, std::mt19937_64 &random);
    std::optional<Event> inSlowStart(const TargetAssessment &assessment, Instant now, std::mt19937_64 &random);
    Event eject(Instant now, std::mt19937_64 &random);
    double suspectedWeight(Instant now) const;
    void enter(TargetPhase phase, Instant now);
    void expireEjections(Instant now);

    LifecycleSettings m_settings;
    TargetPhase m_phase = TargetPhase::Healthy;
    Instant m_since {};
    bool m_leaving = false;
    bool m_cold = false;
    bool m_returning = false; // the slow start follows an ejection
    bool m_waitsForFloor = false;
    bool m_mayReduceWeight = true;
    Duration m_ejectionLength {};
    Instant m_ejectionExpiresAt {};
    Instant m_suspectedUntil {}; // after an ejection that was cut short
    std::uint32_t m_timesEjected = 0;
    std::uint32_t m_trialAttempts = 0;
    double m_trialLatency = 0;
    bool m_trialFailed = false;
};

} // namespace mulberryplank
