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
    std::size_t perFailureDomain = 2; // carriers in each failure domain, at least
    double targetsPerCarrier = 1; // beyond that a service gets more carriers
    double requestsPerCarrier = 300; // likewise
    std::size_t maxCarriers = 64; // each of them holds connections to every target
    Offset maxLag = 1'000; // offsets behind the median of the members from which on one is behind
    Millis lifetime { 10'000 }; // how long callers may keep an answer of locate
    std::uint32_t localWeight = 8; // of carriers in the caller's failure domain; others have 1
    std::function<double(const Member &)> capacity; // relative, above 0; none: all alike
};

// Returns the members that carry a service, the strongest claim first: by rendezvous hashing over the members that are
// alive, ready and not behind, at least `perFailureDomain` from each failure domain that has so many. If there are none
// such, over those that are alive but behind or not ready, and at last over any that aren't dead. All who know the same
// members get the same answer; a set for a larger `size` contains the one for a smaller.
std::vector<Member> carriers(const ServiceName &service,
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
struct LocateAnswer {
    std::vector<LocateEntry> entries; // heaviest first
    Millis lifetime { 0 };
};

// Returns the answer for a caller in `callerDomain` (empty: unknown). Entries of the same weight are ordered by
// `callerSeed`, so that callers who only use the first entry spread out.
LocateAnswer locateAnswer(const std::vector<Member> &carrying,
                          const FailureDomain &callerDomain,
                          const PlacementSettings &settings,
                          std::uint64_t callerSeed);

} // namespace mulberryplank
