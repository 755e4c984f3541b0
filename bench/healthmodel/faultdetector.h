#pragma once

// The detectors that are compared: ServiceHealth, and two baselines that use the traffic of one proxy only.

#include <algorithm>
#include <memory>
#include <vector>

#include "mulberryplank/policy/detector.h"
#include "mulberryplank/policy/floor.h"
#include "mulberryplank/policy/targethealth.h"

namespace healthmodel
{

using namespace mulberryplank;

enum class FaultDetectorKind : std::uint8_t {
    Fast,
    Balanced,
    Cautious,
    ConsecutiveErrors,
    LatencyOutlier,
};

inline constexpr std::array<std::string_view, 5> FaultDetectorNames {
    "fast", "balanced", "cautious", "consecutive-errors", "latency-outlier"
};

struct FaultDetectorSettings {
    PeerId self;
    std::vector<PeerId> peers;
    std::size_t targets = 0;
    double floorShare = 0.5;
    std::uint64_t seed = 0;
    bool active = true; // false: a shadow that observes the traffic and doesn't affect it
};

// Detects the faulty targets of one service at one proxy.
class FaultDetector
{
public:
    FaultDetector() = default;
    virtual ~FaultDetector() = default;
    FaultDetector(const FaultDetector &) = delete;
    FaultDetector &operator=(const FaultDetector &) = delete;

    virtual void observe(const Attempt &attempt, Instant now) = 0;
    virtual void observeOutstanding(TargetIndex target, Duration oldestAge, std::uint32_t waiting, Instant now) = 0;
    virtual void tick(Instant now) = 0;
    virtual TargetPhase phase(TargetIndex target) const = 0;
    virtual double weight(TargetIndex target) const = 0;
    virtual Duration expectedLatency(TargetIndex target) const = 0;
    // Marks the target as about to be replaced: it receives no new requests.
    virtual void setLeaving(TargetIndex)
    {
    }
    // Replaces the target at this position by a new one, which is cold.
    virtual void replace(TargetIndex, Instant)
    {
    }
    // Returns the detector's ServiceHealth, or nullptr for the baselines.
    virtual ServiceHealth *health()
    {
        return nullptr;
    }
};

class ServiceHealthDetector : public FaultDetector
{
public:
    ServiceHealthDetector(FaultDetectorKind kind, const FaultDetectorSettings &settings)
        : m_health({ settings.self, static_cast<Detection>(kind), settings.floorShare, 1, 4 }, settings.seed)
        , m_indices(settings.targets)
        , m_generations(settings.targets)
    {
        for (std::size_t position = 0; position < settings.targets; ++position) {
            add(position, Instant {});
        }
        m_health.setPeers(settings.peers, Instant {});
    }

    void observe(const Attempt &attempt, Instant now) override
    {
        Attempt mapped = attempt;
        mapped.target = m_indices[attempt.target];
        m_health.observe(mapped, now);
    }

    void observeOutstanding(TargetIndex position, Duration oldestAge, std::uint32_t waiting, Instant now) override
    {
        m_health.observeOutstanding(m_indices[position], oldestAge, now, waiting);
    }

    void tick(Instant now) override
    {
        m_health.tick(now);
    }

    TargetPhase phase(TargetIndex position) const override
    {
        return m_health.phase(m_indices[position]);
    }

    double weight(TargetIndex position) const override
    {
        return m_health.weight(m_indices[position]);
    }

    Duration expectedLatency(TargetIndex position) const override
    {
        return m_health.expectedLatency(m_indices[position]);
    }

    void setLeaving(TargetIndex position) override
    {
        m_health.setLeaving(m_indices[position], true);
    }

    void replace(TargetIndex position, Instant now) override
    {
        m_health.removeTarget(m_indices[position]);
        ++m_generations[position];
        add(position, now);
    }

    ServiceHealth *health() override
    {
        return &m_health;
    }

private:
    void add(std::size_t position, Instant now)
    {
        const std::string name = "t" + std::to_string(position) + "." + std::to_string(m_generations[position]);
        m_indices[position] = m_health.addTarget(TargetName { name }, FailureDomain {}, now);
    }

    ServiceHealth m_health;
    std::vector<TargetIndex> m_indices; // per position
    std::vector<int> m_generations; // per position
};

// Common base of the two baseline detectors. Ejects up to half of the targets, as the floor allows, for a time that
// grows by a fixed step with each ejection. A target gets full traffic again afterwards.
class BaselineDetector : public FaultDetector
{
public:
    explicit BaselineDetector(const FaultDetectorSettings &settings)
        : m_targets(settings.targets)
        , m_maxEjected(settings.targets - floorOf(settings.targets, settings.floorShare, 1))
        , m_active(settings.active)
        , m_latency(1)
    {
        for (std::size_t index = 0; index < settings.targets; ++index) {
            m_latency.addTarget();
        }
    }

    void observeOutstanding(TargetIndex, Duration, std::uint32_t, Instant) override
    {
    }

    void observe(const Attempt &attempt, Instant now) override
    {
        if (m_active) {
            m_latency.observe(attempt, now, true);
        }
    }

    void tick(Instant now) override
    {
        if (m_active) {
            m_latency.tick(now);
        }
        for (Target &target : m_targets) {
            target.ejected = target.ejected && now < target.ejectedUntil;
        }
    }

    TargetPhase phase(TargetIndex target) const override
    {
        return m_targets[target].ejected ? TargetPhase::Ejected : TargetPhase::Healthy;
    }

    double weight(TargetIndex target) const override
    {
        return m_targets[target].ejected ? 0 : 1;
    }

    Duration expectedLatency(TargetIndex target) const override
    {
        return m_latency.expectedLatency(target);
    }

protected:
    void eject(TargetIndex index, Instant now)
    {
        const auto ejected =
            static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [](const Target &target) {
                return target.ejected;
            }));
        if (ejected < m_maxEjected && !m_targets[index].ejected) {
            ++m_targets[index].ejections;
            m_targets[index].ejected = true;
            m_targets[index].ejectedUntil = now + Seconds { 30 } * m_targets[index].ejections;
        }
    }

    struct Target {
        bool ejected = false;
        Instant ejectedUntil {};
        int ejections = 0;
        int consecutiveErrors = 0;
        double latencySum = 0;
        int count = 0;
    };

    std::vector<Target> m_targets;

private:
    std::size_t m_maxEjected;
    bool m_active;
    Detector m_latency; // only for expectedLatency(), so that all detectors choose targets alike
};

class ConsecutiveErrorsDetector : public BaselineDetector
{
public:
    using BaselineDetector::BaselineDetector;

    void observe(const Attempt &attempt, Instant now) override
    {
        BaselineDetector::observe(attempt, now);
        constexpr int ErrorsToEject = 5;
        Target &target = m_targets[attempt.target];
        if (attempt.result == AttemptResult::Success) {
            target.consecutiveErrors = 0;
        } else if (attempt.result != AttemptResult::Shed && attempt.result != AttemptResult::Cancelled) {
            ++target.consecutiveErrors;
        }
        if (target.consecutiveErrors >= ErrorsToEject) {
            target.consecutiveErrors = 0;
            eject(attempt.target, now);
        }
    }
};

class LatencyOutlierDetector : public BaselineDetector
{
public:
    using BaselineDetector::BaselineDetector;

    void observe(const Attempt &attempt, Instant now) override
    {
        BaselineDetector::observe(attempt, now);
        if (attempt.result != AttemptResult::Shed && attempt.result != AttemptResult::Cancelled) {
            m_targets[attempt.target].latencySum += toSeconds(attempt.latency);
            ++m_targets[attempt.target].count;
        }
    }

    void tick(Instant now) override
    {
        BaselineDetector::tick(now);
        if (now - m_intervalStart < Interval) {
            return;
        }
        m_intervalStart = now;
        double sum = 0;
        int count = 0;
        for (const Target &target : m_targets) {
            sum += target.latencySum;
            count += target.count;
        }
        for (TargetIndex index = 0; index < m_targets.size(); ++index) {
            Target &target = m_targets[index];
            const double meanOfOthers = (sum - target.latencySum) / std::max(1, count - target.count);
            if (target.count >= MinCount && target.latencySum / target.count > MaxRatio * meanOfOthers) {
                eject(index, now);
            }
        }
        for (Target &target : m_targets) {
            target.latencySum = 0;
            target.count = 0;
        }
    }

private:
    static constexpr Duration Interval = Seconds { 10 };
    static constexpr int MinCount = 20;
    static constexpr double MaxRatio = 3;

    Instant m_intervalStart {};
};

inline std::unique_ptr<FaultDetector> makeFaultDetector(FaultDetectorKind kind, const FaultDetectorSettings &settings)
{
    switch (kind) {
    case FaultDetectorKind::ConsecutiveErrors:
        return std::make_unique<ConsecutiveErrorsDetector>(settings);
    case FaultDetectorKind::LatencyOutlier:
        return std::make_unique<LatencyOutlierDetector>(settings);
    default:
        return std::make_unique<ServiceHealthDetector>(kind, settings);
    }
}

} // namespace healthmodel
