#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Determines how many proxies are assigned to a service. All members must use the same numbers, so they come from the
// configuration and not from a member's own measurements of the load.
struct ServiceSize {
    std::size_t targets = 0;
    double requestsPerSecond = 0; // expected; 0: unknown
};

struct PlacementSettings {
    std::size_t minPerFailureDomain = 2; // minimum of assigned proxies in each failure domain
    double targetsPerProxy = 1; // a service with more targets is assigned more proxies
    double requestsPerProxy = 300; // likewise
    std::size_t maxAssignedProxies = 64; // each of them holds connections to every target
    Offset maxLag = 1'000; // offsets; a member that is further behind the members' median counts as behind
    Millis lifetime { 10'000 }; // how long callers may cache a locate response
    std::uint32_t localWeight = 8; // of assigned proxies in the caller's failure domain; others have 1
    std::function<double(const Member &)> capacity; // relative, above 0; empty: all equal
};

// Returns the proxies that are assigned a service, highest score first. Uses rendezvous hashing over the members that
// are alive, ready and not behind. Selects at least `minPerFailureDomain` from each failure domain that has as many. If
// there are no such members, it uses those that are alive but behind or not ready, and as a last resort all that aren't
// dead. The result is the same on all processes that know the same members. The result for a larger `size` contains
// that for a smaller one.
std::vector<Member> assignedProxies(const ServiceName &service,
                                    const std::vector<Member> &members,
                                    const PlacementSettings &settings,
                                    const ServiceSize &size = {});

// One address in a locate response.
struct LocateEntry {
    VmName vm;
    Incarnation incarnation = 0;
    Endpoint caller;
    FailureDomain failureDomain;
    std::uint32_t weight = 1; // share of the caller's requests, relative to the other entries
};

// The response of locate.
struct LocateResponse {
    std::vector<LocateEntry> entries; // highest weight first
    Millis lifetime { 0 };
};

// Returns the response for a caller in `callerDomain` (empty: unknown). Entries of the same weight are ordered by
// `callerSeed`, so that callers that only use the first entry are spread out.
LocateResponse locateResponse(const std::vector<Member> &assigned,
                              const FailureDomain &callerDomain,
                              const PlacementSettings &settings,
                              std::uint64_t callerSeed);

} // namespace mulberryplank
