#pragma once

#include <cstddef>
#include <vector>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

struct EntrySettings {
    std::size_t leastPerDomain = 1;
    // The part of a domain's capacity that is named, at least. Few processes with many requests each see more of every
    // target, tell each other less and keep fuller pools of connections: with one entry for each failure domain instead
    // of two the mean worth of 20 days with hanging targets grew from 0.620 to 0.634, days on which entries die among
    // them; a caller whose entry has gone asks again. Six hundredths carried the load of every deployment measured so
    // far several times over.
    double capacityShare = 0.06;
};

// Returns the members that callers are named as entries to the fleet, by failure domain: the strongest of each domain,
// so many that both settings are met. Members that are alive and ready go first; where a fleet has none, those that are
// alive, and at last any that aren't dead. All who know the same members get the same answer, in the same order.
std::vector<Member> entryMembers(const std::vector<Member> &members, const EntrySettings &settings);

} // namespace mulberryplank
