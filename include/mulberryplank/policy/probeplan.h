#pragma once

#include <cstdint>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/evidence.h"

namespace mulberryplank
{

// Settings that determine how often a target is probed and what that costs it.
struct ProbePlanSettings {
    Duration cost = Millis { 25 }; // slot time of one probe
    std::uint32_t slotsPerTarget = 4;
    double loadShare = 0.02; // maximum share of the target's slots that all probes together take
};

// Decides which of the proxies assigned to a service probes which of its targets. All proxies compute the same plan
// from the same members, so the load on a target doesn't depend on the number of proxies. While their views of the
// members differ, a target may have no prober or several for a short time.
class ProbePlan
{
public:
    explicit ProbePlan(ProbePlanSettings settings);

    // Returns the proxies that probe `target`. The first one always does; the second one only while views disagree.
    // Returns an empty list if no proxy is assigned.
    std::vector<PeerId> probers(const std::vector<PeerId> &assignedProxies, TargetId target, bool viewsDisagree) const;

    // Returns the time between two probes of one prober, such that `proberCount` probers stay within `loadShare`.
    Duration interval(std::size_t proberCount) const;

private:
    ProbePlanSettings m_settings;
};

} // namespace mulberryplank
