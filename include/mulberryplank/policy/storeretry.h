#pragma once

#include <cstddef>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// How often a store that doesn't answer is tried again. Calls are billed, failed ones as well, and a fleet in which
// each process tries for itself bills the square of its size in an outage.
struct StoreRetrySettings {
    // After the first failure, and the least pause: most failures are of one call.
    Duration first = Millis(250);
    // The pause of a process that nobody else tries for, from its second failure on. With it, a change made as the
    // store returns is known here a second before it has to be in force.
    Duration most = Millis(500);
    // How many calls all processes that share the tries make in a second. The first one that succeeds tells the others,
    // so a store that answers any of them again is found within some hundred milliseconds.
    double sharedCallsPerSecond = 8;
    // The longest pause of one of those, so that a hint that is lost costs no more.
    Duration maxSharedDelay = Seconds(5);
};

// Decides when a process may call the store again after failures. Not synchronized.
class StoreRetry
{
public:
    // `phase`, from 0 to 1, keeps processes apart that failed in the same moment.
    StoreRetry(StoreRetrySettings settings, double phase);

    // Returns true if the store may be called now. `sharingProcesses`: how many processes, this one among them, try for
    // each other at the moment; 0: nobody else does, or this one is who the others rely on.
    bool mayTry(Instant now, std::size_t sharingProcesses) const;

    // A call has failed.
    void onFailure(Instant now);

    // A call was answered, or another process says that the store answers: it may be called at once.
    void reset();

private:
    Duration delayFor(std::size_t sharingProcesses) const;

    const StoreRetrySettings m_settings;
    const double m_phase;
    int m_failures = 0; // one after the other
    Instant m_failedAt {};
};

} // namespace mulberryplank
