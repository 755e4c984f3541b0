#pragma once

#include <vector>

#include "mulberryplank/policy/member.h"
#include "mulberryplank/policy/targetdirectory.h"
#include "mulberryplank/policy/targetratelimit.h"

namespace mulberryplank
{

// The processes that share the limits of all targets, as one of them knows them.
struct RateLimitFleet {
    std::vector<Member> ingressProxies; // among which the holders are selected
    std::size_t processes = 1; // all of them, including this one
    Incarnation self = 0;
};

// Returns which part of a target's limit this process may use. Processes that know the same members select the same
// holders. There are as many holders as the limit has whole requests per second, at least one, so that each of them may
// send one per second: a limit far below one request per second and process can't be divided among all. Prefers holders
// in the target's failure domain, whose callers use the target most.
RateLimitShare rateLimitShare(const AnnouncedTarget &target, double perSecond, const RateLimitFleet &fleet);

} // namespace mulberryplank
