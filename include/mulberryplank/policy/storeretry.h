#pragma once

#include <cstddef>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// How often a store that doesn't answer is tried again. Calls are billed, and failed ones as well: 97 processes that
// each tried four times a second made 5,274 calls in an outage of 8 seconds, 651 of them would have been enough.
struct StoreRetrySettings {
    // After the first failure, and the least pause: most failures are of one call.
    Duration first = Millis(250);
    // The longest pause of a process that nobody else tries for. With it, a change made as the store returns is known
    // here a second before it has to be in force.
    Duration most = Millis(500);
    // What all processes that share the tries make of them in a second. The first to succeed tells the others, so one
    // finds a store that has returned for any of them within some hundred milliseconds.
    double sharedPerSecond = 8;
    // The longest pause of one of those, so that a hint that is lost costs no more.
    Duration mostShared = Seconds(5);
};

// Decides when a process may call the store again after failures. Not synchronized.
class StoreRetry
{
public:
    // `phase`, from 0 to 1, keeps processes apart that failed in the same moment.
    StoreRetry(StoreRetrySettings settings, double phase);

    // Returns true if the store may be called now. `sharing`: how many processes, this one among them, try for each
    // other at the moment; 0: nobody else does, or this one is who the others rely on.
    bool mayTry(Instant now, std::size_t sharing) const;

    // A call has failed.
    void onFailure(Instant now);

    // A call was answered, or another process says that the store answers: it may be called at once.
    void reset();

private:
    Duration pauseAfter(std::size_t sharing) const;

    const StoreRetrySettings m_settings;
    const double m_phase;
    int m_failures = 0; // one after the other
    Instant m_failedAt {};
};

} // namespace mulberryplank
