#pragma once

#include <cstdint>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Returns the maximum number of requests that each of `assignedProxies` proxies should have in flight at a target with
// `slots` slots. This is twice the proxy's fair share: a busy proxy finds room, and no proxy can hold all slots of a
// target that hangs.
std::uint32_t maxInFlight(std::uint32_t slots, std::size_t assignedProxies);

// Adapts the number of requests that this process may have in flight at one target while other proxies, which it
// doesn't see, use the same slots. A shed lowers the limit at once; responses without a shed raise it slowly while it
// is in use. The limits of the proxies therefore settle near a fair share of the target's slots. Thread-compatible.
class ConcurrencyLimit
{
public:
    // `maxLimit` is the upper bound of limit(), as from maxInFlight().
    explicit ConcurrencyLimit(std::uint32_t maxLimit);

    // Changes the upper bound of limit(), when the set of assigned proxies changes.
    void setMaxLimit(std::uint32_t maxLimit);

    // Returns how many requests may be in flight: 1 to the upper bound, or 0 for a short time after a shed with a retry
    // delay.
    std::uint32_t limit(Instant now) const;

    // Records a response after `latency`. `inFlight` is the number of this process's requests in flight, this one
    // included. A response that took much longer than `usualLatency` (0: unknown) doesn't raise the limit.
    void onResponse(std::uint32_t inFlight, Duration latency, Duration usualLatency);

    // Records that the target refused a request for load and requested a retry delay of `retryAfter` (0: none given).
    // Only the first quarter of a second of the delay is kept: the header counts in seconds, and a slot is free again
    // after milliseconds.
    void shed(Duration retryAfter, Instant now);

private:
    double m_maxLimit;
    double m_limit;
    Instant m_holdUntil {};
};

} // namespace mulberryplank
