#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// A process that newcomers ask for the other members.
struct FleetSeed {
    VmName vm;
    Endpoint peer;
    FailureDomain failureDomain;
};

// Returns whether the process `self` is among the `perDomain` strongest of its failure domain, of those that neither
// leave nor are dead: these are the seeds, and those that read the configuration from the store. Who knows the same
// members comes to the same result, so that a fleet of any size has so many in each domain, and one that is lost is
// replaced.
bool isAmongTopRanked(const std::vector<Member> &members, Incarnation self, std::size_t perDomain);

// Returns the member that reads the store for the others of its failure domain: the strongest that is alive there,
// ready or not, or nothing. While a fleet starts few are ready, and a choice among those would name nobody in most
// domains, so that everybody there would read for itself.
std::optional<Member> designatedReader(const std::vector<Member> &members, const FailureDomain &domain);

// Returns the VMs among `seeds` that none of the members runs on. None if that goes for all seeds: a process that knows
// nobody of those whom the store names may itself be the one that is cut off.
std::vector<VmName> staleSeeds(const std::vector<FleetSeed> &seeds, const std::vector<Member> &members);

} // namespace mulberryplank
