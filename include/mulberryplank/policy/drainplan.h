#pragma once

#include <cstdint>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

struct DrainSettings {
    Duration callersLifetime {}; // how long callers may go on choosing this process
    Duration acceptance {}; // how long requests are accepted at most, so that they can be finished within `limit`
    Duration limit {}; // when the process finishes whatever is in progress, from the start of the drain
};

// What a draining process still has to finish.
struct DrainLoad {
    std::uint64_t requests = 0; // of callers
    std::uint64_t connections = 0; // of callers; the last response may still be on its way
    std::uint64_t tunnels = 0; // of other processes, to targets
};

// Decides how a process that is about to end stops serving. Callers cache a locate response for its lifetime and may
// connect until it expires. The process therefore continues to serve for that time, as long as it can finish what it
// accepts. After that it rejects new requests and closes idle connections, and finishes once nothing is in progress.
// Thread-compatible.
class DrainPlan
{
public:
    DrainPlan(DrainSettings settings, Instant startedAt);

    // Returns true if new requests are rejected and idle connections are closed.
    bool isClosing(Instant now) const;

    // Returns true if the process may end.
    bool isFinished(const DrainLoad &load, Instant now) const;

private:
    Instant m_closing;
    Instant m_end;
};

} // namespace mulberryplank
