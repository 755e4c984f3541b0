#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// A process that starting processes request the list of members from.
struct FleetSeed {
    VmName vm;
    Endpoint peer;
    FailureDomain failureDomain;
};

// Returns whether the process `self` is among the `perDomain` members with the highest capacity in its failure domain,
// not counting members that are leaving or dead. These members are the seeds and read the configuration from the store.
// The result is the same on all processes that know the same members. A fleet of any size thus has the same number of
// them in each domain, and one that is lost is replaced.
bool isAmongTopRanked(const std::vector<Member> &members, Incarnation self, std::size_t perDomain);

// Returns the designated reader of a failure domain, which reads the store for the domain's other members, or nothing.
// It is the member with the highest capacity that is alive there, ready or not. Few members are ready while a fleet
// starts: a choice among ready members only would leave most domains without a reader, and every process there would
// read the store itself.
std::optional<Member> designatedReader(const std::vector<Member> &members, const FailureDomain &domain);

// Returns the VMs of `seeds` whose process is known to have ended: it is listed as dead, or no member runs there, the
// VM is in the failure domain `own`, and `isUnresponsive` returns true for its address. Elsewhere a part of the fleet
// that this process doesn't know may depend on the seed. If all seeds are stale, returns none: this process may itself
// be disconnected.
std::vector<VmName> staleSeeds(const std::vector<FleetSeed> &seeds,
                               const std::vector<Member> &members,
                               const FailureDomain &own,
                               const std::function<bool(const Endpoint &)> &isUnresponsive);

} // namespace mulberryplank
