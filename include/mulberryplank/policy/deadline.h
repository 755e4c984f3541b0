#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// The time by which the caller must have the response to a request. Fixed when the request's header has arrived; time
// in the queue counts.
class Deadline
{
public:
    // Creates a deadline `limit` after `arrived`.
    Deadline(Instant arrived, Duration limit);

    // Returns the instant at which the deadline expires.
    Instant at() const;

    // Returns the time left, at least zero.
    Duration remaining(Instant now) const;

    // Returns true once no time is left.
    bool passed(Instant now) const;

    // Returns the X-Deadline-Ms value for a target: the whole milliseconds left, rounded down, so that a target never
    // assumes more time than there is.
    std::string forTarget(Instant now) const;

private:
    Instant m_at;
};

// Returns the deadline of a request that arrived at `arrived`: the caller's X-Deadline-Ms (relative, whole
// milliseconds; empty: none given), capped by the route's timeout. Returns BadRequest for a value that isn't a positive
// whole number.
Result<Deadline> deadlineFor(std::string_view callerDeadlineMs, const Route &route, Instant arrived);

// Returns how long an attempt may wait for its response header when `attemptsLeft` attempts, this one included, share
// the time `remaining`. The last attempt gets all of it. Earlier ones get half, so that an unresponsive target leaves
// time for a retry.
Duration attemptTimeout(Duration remaining, std::uint32_t attemptsLeft);

} // namespace mulberryplank
