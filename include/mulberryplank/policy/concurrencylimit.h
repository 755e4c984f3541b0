#pragma once

#include <cstdint>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Returns the most requests that one of `carriers` proxies should have under way at a target with `slots` slots: twice
// its fair part, so that a busy proxy finds room, and so that no proxy can hold all slots of a target that hangs.
std::uint32_t mostInFlight(std::uint32_t slots, std::size_t carriers);

// Learns how many requests this process may have under way at one target, when other proxies that it doesn't see use
// the same slots. Sheds lower the limit at once, answers without a shed raise it slowly while it is in use; so the
// proxies' limits settle near a fair share of the target's slots. Not synchronized.
class ConcurrencyLimit
{
public:
    // `most` is the most that limit() can be, as from mostInFlight().
    explicit ConcurrencyLimit(std::uint32_t most);

    // Changes the most that limit() can be, when carriers come or go.
    void setMost(std::uint32_t most);

    // Returns how many requests may be under way now: 1 to the most, and 0 for a moment after a shed that asked to be
    // left alone.
    std::uint32_t limit(Instant now) const;

    // The target answered after `latency`; `inFlight` is how many of ours were under way, this one included. An answer
    // that took much longer than `usual` (0: not known) doesn't raise the limit.
    void answered(std::uint32_t inFlight, Duration latency, Duration usual);

    // The target refused for load, and asked not to be tried for `retryAfter` (0: it didn't say). Only the first
    // quarter of a second of that is kept: the header counts in seconds, and a slot is free again after milliseconds.
    void shed(Duration retryAfter, Instant now);

private:
    double m_most;
    double m_limit;
    Instant m_holdUntil {};
};

} // namespace mulberryplank
