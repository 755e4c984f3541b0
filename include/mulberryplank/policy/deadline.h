#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// The time by which a request must be answered, fixed when its header has arrived; waiting in the queue counts.
class Deadline
{
public:
    // Ends `limit` after `arrived`.
    Deadline(Instant arrived, Duration limit);

    // Returns the instant at which the request's time is up.
    Instant at() const;

    // Returns the time left, never less than zero.
    Duration remaining(Instant now) const;

    // Returns true from the instant on at which no time is left.
    bool passed(Instant now) const;

    // Returns the value for X-Deadline-Ms towards a target: whole milliseconds left, rounded down, so that a target
    // never believes in more time than there is.
    std::string forTarget(Instant now) const;

private:
    Instant m_at;
};

// Returns the deadline of a request that arrived at `arrived`: the caller's X-Deadline-Ms (relative, whole
// milliseconds; empty: none given), at most the route's timeout. BadRequest for a value that is no positive whole
// number.
Result<Deadline> deadlineFor(std::string_view callerDeadlineMs, const Route &route, Instant arrived);

// Returns how long an attempt may wait for its answer's header when `attemptsLeft` attempts, this one included, share
// the time `remaining`. An attempt that nothing can follow gets all of it; others half, so that a silent target leaves
// time for a retry.
Duration attemptTimeout(Duration remaining, std::uint32_t attemptsLeft);

} // namespace mulberryplank
