#pragma once

#include <cstddef>
#include <vector>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

struct IngressSettings {
    std::size_t minPerDomain = 1;
    // The part of a domain's capacity that is named, at least. Few processes with many requests each see more of every
    // target, tell each other less and keep fuller pools of connections; a caller whose entry has gone asks again.
    double capacityShare = 0.06;
};

// Returns the members that callers are named as entries to the fleet, by failure domain: the strongest of each domain,
// so many that both settings are met. Members that are alive and ready go first; where a fleet has none, those that are
// alive, and at last any that aren't dead. All who know the same members get the same answer, in the same order.
std::vector<Member> ingressMembers(const std::vector<Member> &members, const IngressSettings &settings);

} // namespace mulberryplank
