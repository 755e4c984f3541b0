#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// What decides how many members carry a service. Every member has to put in the same numbers: they come from the
// configuration, not from what a member sees of the load.
struct ServiceSize {
    std::size_t targets = 0;
    double requestsPerSecond = 0; // expected; 0: unknown
};

struct PlacementSettings {
    std::size_t minPerFailureDomain = 2; // assignedProxies in each failure domain, at least
    double targetsPerProxy = 1; // beyond that a service gets more assignedProxies
    double requestsPerProxy = 300; // likewise
    std::size_t maxAssignedProxies = 64; // each of them holds connections to every target
    Offset maxLag = 1'000; // offsets behind the median of the members from which on one is behind
    Millis lifetime { 10'000 }; // how long callers may keep an response of locate
    std::uint32_t localWeight = 8; // of assignedProxies in the caller's failure domain; others have 1
    std::function<double(const Member &)> capacity; // relative, above 0; none: all alike
};

// Returns the members that carry a service, the strongest claim first: by rendezvous hashing over the members that are
// alive, ready and not behind, at least `minPerFailureDomain` from each failure domain that has so many. If there are
// none such, over those that are alive but behind or not ready, and at last over any that aren't dead. All who know the
// same members get the same response; a set for a larger `size` contains the one for a smaller.
std::vector<Member> assignedProxies(const ServiceName &service,
                                    const std::vector<Member> &members,
                                    const PlacementSettings &settings,
                                    const ServiceSize &size = {});

// One address that locate names.
struct LocateEntry {
    VmName vm;
    Incarnation incarnation = 0;
    Endpoint caller;
    FailureDomain failureDomain;
    std::uint32_t weight = 1; // share of the caller's requests, relative to the other entries
};

// What locate answers.
struct LocateResponse {
    std::vector<LocateEntry> entries; // heaviest first
    Millis lifetime { 0 };
};

// Returns the response for a caller in `callerDomain` (empty: unknown). Entries of the same weight are ordered by
// `callerSeed`, so that callers who only use the first entry spread out.
LocateResponse locateResponse(const std::vector<Member> &assigned,
                              const FailureDomain &callerDomain,
                              const PlacementSettings &settings,
                              std::uint64_t callerSeed);

} // namespace mulberryplank
