#pragma once

// The detectors that are compared: ours, and two simple ones that look at one proxy's traffic only.

#include <algorithm>
#include <memory>
#include <vector>

#include "mulberryplank/policy/detector.h"
#include "mulberryplank/policy/floor.h"
#include "mulberryplank/policy/targethealth.h"

namespace healthmodel
{

using namespace mulberryplank;

enum class JudgeKind : std::uint8_t {
    Fast,
    Balanced,
    Cautious,
    ConsecutiveErrors,
    LatencyOutlier,
};

inline constexpr std::array<std::string_view, 5> JudgeNames {
    "fast", "balanced", "cautious", "consecutive-errors", "latency-outlier"
};

struct JudgeSettings {
    PeerId self;
    std::vector<PeerId> peers;
    std::size_t targets = 0;
    double floorShare = 0.5;
    std::uint64_t seed = 0;
    bool decides = true; // false: only watches
};

// One proxy's opinion of one service's targets.
class Judge
{
public:
    Judge() = default;
    virtual ~Judge() = default;
    Judge(const Judge &) = delete;
    Judge &operator=(const Judge &) = delete;

    virtual void observe(const Attempt &attempt, Instant now) = 0;
    virtual void observeOutstanding(TargetIndex target, Duration oldestAge, std::uint32_t waiting, Instant now) = 0;
    virtual void tick(Instant now) = 0;
    virtual TargetPhase phase(TargetIndex target) const = 0;
    virtual double weight(TargetIndex target) const = 0;
    virtual Duration expectedLatency(TargetIndex target) const = 0;
    // The target is about to be replaced: it takes no new work.
    virtual void setLeaving(TargetIndex)
    {
    }
    // A new target stands in this one's place, cold.
    virtual void replace(TargetIndex, Instant)
    {
    }
    // Ours only.
    virtual ServiceHealth *health()
    {
        return nullptr;
    }
};

class OurJudge : public Judge
{
public:
    OurJudge(JudgeKind kind, const JudgeSettings &settings)
        : m_health({ settings.self, static_cast<Detection>(kind), settings.floorShare, 1, 4 }, settings.seed)
        , m_indices(settings.targets)
        , m_generations(settings.targets)
    {
        for (std::size_t place = 0; place < settings.targets; ++place) {
            add(place, Instant {});
        }
        m_health.setPeers(settings.peers, Instant {});
    }

    void observe(const Attempt &attempt, Instant now) override
    {
        Attempt mapped = attempt;
        mapped.target = m_indices[attempt.target];
        m_health.observe(mapped, now);
    }

    void observeOutstanding(TargetIndex place, Duration oldestAge, std::uint32_t waiting, Instant now) override
    {
        m_health.observeOutstanding(m_indices[place], oldestAge, now, waiting);
    }

    void tick(Instant now) override
    {
        m_health.tick(now);
    }

    TargetPhase phase(TargetIndex place) const override
    {
        return m_health.phase(m_indices[place]);
    }

    double weight(TargetIndex place) const override
    {
        return m_health.weight(m_indices[place]);
    }

    Duration expectedLatency(TargetIndex place) const override
    {
        return m_health.expectedLatency(m_indices[place]);
    }

    void setLeaving(TargetIndex place) override
    {
        m_health.setLeaving(m_indices[place], true);
    }

    void replace(TargetIndex place, Instant now) override
    {
        m_health.removeTarget(m_indices[place]);
        ++m_generations[place];
        add(place, now);
    }

    ServiceHealth *health() override
    {
        return &m_health;
    }

private:
    void add(std::size_t place, Instant now)
    {
        const std::string name = "t" + std::to_string(place) + "." + std::to_string(m_generations[place]);
        m_indices[place] = m_health.addTarget(TargetName { name }, FailureDomain {}, now);
    }

    ServiceHealth m_health;
    std::vector<TargetIndex> m_indices; // per place
    std::vector<int> m_generations; // per place
};

// What both simple detectors share: ejection of up to half of the targets for a time that grows by a fixed step, then
// full traffic again.
class SimpleJudge : public Judge
{
public:
    explicit SimpleJudge(const JudgeSettings &settings)
        : m_targets(settings.targets)
        , m_budget(settings.targets - floorOf(settings.targets, settings.floorShare, 1))
        , m_decides(settings.decides)
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
        if (m_decides) {
            m_latency.observe(attempt, now, true);
        }
    }

    void tick(Instant now) override
    {
        if (m_decides) {
            m_latency.tick(now);
        }
        for (Target &target : m_targets) {
            target.ejected = target.ejected && now < target.until;
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
        if (ejected < m_budget && !m_targets[index].ejected) {
            ++m_targets[index].times;
            m_targets[index].ejected = true;
            m_targets[index].until = now + Seconds { 30 } * m_targets[index].times;
        }
    }

    struct Target {
        bool ejected = false;
        Instant until {};
        int times = 0;
        int errorsInARow = 0;
        double latencySum = 0;
        int count = 0;
    };

    std::vector<Target> m_targets;

private:
    std::size_t m_budget;
    bool m_decides;
    Detector m_latency; // only for expectedLatency(), so that the choice of target is the same for all
};

class ConsecutiveErrorsJudge : public SimpleJudge
{
public:
    using SimpleJudge::SimpleJudge;

    void observe(const Attempt &attempt, Instant now) override
    {
        SimpleJudge::observe(attempt, now);
        constexpr int MostInARow = 5;
        Target &target = m_targets[attempt.target];
        if (attempt.result == AttemptResult::Success) {
            target.errorsInARow = 0;
        } else if (attempt.result != AttemptResult::Shed && attempt.result != AttemptResult::Cancelled) {
            ++target.errorsInARow;
        }
        if (target.errorsInARow >= MostInARow) {
            target.errorsInARow = 0;
            eject(attempt.target, now);
        }
    }
};

class LatencyOutlierJudge : public SimpleJudge
{
public:
    using SimpleJudge::SimpleJudge;

    void observe(const Attempt &attempt, Instant now) override
    {
        SimpleJudge::observe(attempt, now);
        if (attempt.result != AttemptResult::Shed && attempt.result != AttemptResult::Cancelled) {
            m_targets[attempt.target].latencySum += toSeconds(attempt.latency);
            ++m_targets[attempt.target].count;
        }
    }

    void tick(Instant now) override
    {
        SimpleJudge::tick(now);
        if (now - m_since < Interval) {
            return;
        }
        m_since = now;
        double sum = 0;
        int count = 0;
        for (const Target &target : m_targets) {
            sum += target.latencySum;
            count += target.count;
        }
        for (TargetIndex index = 0; index < m_targets.size(); ++index) {
            Target &target = m_targets[index];
            const double others = (sum - target.latencySum) / std::max(1, count - target.count);
            if (target.count >= LeastCount && target.latencySum / target.count > MostRatio * others) {
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
    static constexpr int LeastCount = 20;
    static constexpr double MostRatio = 3;

    Instant m_since {};
};

inline std::unique_ptr<Judge> makeJudge(JudgeKind kind, const JudgeSettings &settings)
{
    switch (kind) {
    case JudgeKind::ConsecutiveErrors:
        return std::make_unique<ConsecutiveErrorsJudge>(settings);
    case JudgeKind::LatencyOutlier:
        return std::make_unique<LatencyOutlierJudge>(settings);
    default:
        return std::make_unique<OurJudge>(kind, settings);
    }
}

} // namespace healthmodel
