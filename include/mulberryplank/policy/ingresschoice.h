#pragma once

#include <cstddef>
#include <vector>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

struct IngressSettings {
    std::size_t minPerDomain = 1;
    // The minimum share of a domain's capacity that is selected. With few proxies that each handle many requests, every
    // proxy observes more of each target, exchanges fewer messages and keeps fuller connection pools. A caller whose
    // ingress proxy has stopped locates another one.
    double capacityShare = 0.06;
};

// Returns the ingress proxies that callers are directed to, by failure domain: the members of each domain with the
// highest capacity, as many as both settings require. Selects among the members that are alive and ready; if there are
// none in the fleet, among those that are alive; if there are none of these either, among all that aren't dead. The
// result is the same, in the same order, on all processes that know the same members.
std::vector<Member> ingressMembers(const std::vector<Member> &members, const IngressSettings &settings);

} // namespace mulberryplank
