#pragma once

#include <cstdint>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/evidence.h"

namespace mulberryplank
{

// How often a target is probed, and what that costs it.
struct ProbePlanSettings {
    Duration cost = Millis { 25 }; // of one probe, in slot time
    std::uint32_t slotsPerTarget = 4;
    double loadShare = 0.02; // of the target's slots that all probes together may take
};

// Decides which of the proxies that carry a service probes which of its targets. Every proxy works out the same plan
// from the same members, so the load on a target doesn't depend on how many proxies there are. While views of the
// members differ, a target may have no prober or several for a short time.
class ProbePlan
{
public:
    explicit ProbePlan(ProbePlanSettings settings);

    // Returns the proxies that probe `target`, first the one that always does; the second only while views disagree.
    // Empty when there are no assignedProxies.
    std::vector<PeerId> probers(const std::vector<PeerId> &assignedProxies, TargetId target, bool viewsDisagree) const;

    // Returns the time between two probes of one prober, such that `proberCount` probers stay within the load share.
    Duration interval(std::size_t proberCount) const;

private:
    ProbePlanSettings m_settings;
};

} // namespace mulberryplank
