#pragma once

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Learns for how long connections to the targets of a service may be idle. Targets, or what stands before them, may
// drop idle connections without notice and sooner than they announce. Whatever is sent next is then reset and doesn't
// arrive. Thread-compatible.
class IdleLimit
{
public:
    // Reports that a connection that had been idle for `idle` was reset before the target responded.
    void noteReset(Duration idle, Instant now);

    // Returns how long a connection may have been idle to be used for a request. Without recent resets there is no
    // limit: Duration::max().
    Duration limit(Instant now) const;

private:
    Duration m_limit = Duration::max(); // when it was last lowered
    Instant m_loweredAt {};
};

} // namespace mulberryplank
