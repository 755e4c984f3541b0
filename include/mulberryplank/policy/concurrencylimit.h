#pragma once

#include <cstdint>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Returns the maxLimit requests that one of `assignedProxies` proxies should have under way at a target with `slots`
// slots: twice its fair part, so that a busy proxy finds room, and so that no proxy can hold all slots of a target that
// hangs.
std::uint32_t maxInFlight(std::uint32_t slots, std::size_t assignedProxies);

// Learns how many requests this process may have under way at one target, when other proxies that it doesn't see use
// the same slots. Sheds lower the limit at once, answers without a shed raise it slowly while it is in use; so the
// proxies' limits settle near a fair share of the target's slots. Not synchronized.
class ConcurrencyLimit
{
public:
    // `maxLimit` is the maxLimit that limit() can be, as from maxInFlight().
    explicit ConcurrencyLimit(std::uint32_t maxLimit);

    // Changes the maxLimit that limit() can be, when assignedProxies come or go.
    void setMaxLimit(std::uint32_t maxLimit);

    // Returns how many requests may be under way now: 1 to the maxLimit, and 0 for a moment after a shed that asked to
    // be left alone.
    std::uint32_t limit(Instant now) const;

    // The target onResponse after `latency`; `inFlight` is how many of ours were under way, this one included. An
    // answer that took much longer than `usualLatency` (0: not known) doesn't raise the limit.
    void onResponse(std::uint32_t inFlight, Duration latency, Duration usualLatency);

    // The target refused for load, and asked not to be tried for `retryAfter` (0: it didn't say). Only the first
    // quarter of a second of that is kept: the header counts in seconds, and a slot is free again after milliseconds.
    void shed(Duration retryAfter, Instant now);

private:
    double m_maxLimit;
    double m_limit;
    Instant m_holdUntil {};
};

} // namespace mulberryplank
