#pragma once

#include <cstddef>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// The intervals at which a store that doesn't respond is tried again. Calls are billed, including failed ones. A fleet
// in which each process retried on its own would be billed in proportion to the square of its size during an outage.
struct StoreRetrySettings {
    // The delay after a single failure, and the minimum delay. Typically only one call fails.
    Duration initialDelay = Millis(250);
    // The delay from the second failure on, if no other process shares the retries. The process then learns of a change
    // one second before it has to be in force, even if the change is made while the store recovers.
    Duration maxDelay = Millis(500);
    // How many calls per second all processes that share their retries make together. As soon as one of them succeeds,
    // it notifies the others, so a recovered store is detected within some hundred milliseconds.
    double sharedCallsPerSecond = 8;
    // The maximum delay of a process that shares its retries. It bounds the cost of a lost hint.
    Duration maxSharedDelay = Seconds(5);
};

// Decides when a process may call the store again after failures. Thread-compatible.
class StoreRetry
{
public:
    // `phase`, from 0 to 1, spreads out processes that failed at the same time.
    StoreRetry(StoreRetrySettings settings, double phase);

    // Returns true if the store may be called now. `sharingProcesses` is how many processes, including this one,
    // currently share their retries. 0: no other process retries for this one, or this one is the designated reader.
    bool mayTry(Instant now, std::size_t sharingProcesses) const;

    // Must be called after a failed call.
    void onFailure(Instant now);

    // Must be called after a successful call, or when another process reports that the store responds. The store may
    // then be called at once.
    void reset();

private:
    Duration delayFor(std::size_t sharingProcesses) const;

    const StoreRetrySettings m_settings;
    const double m_phase;
    int m_failures = 0; // consecutive
    Instant m_failedAt {};
};

} // namespace mulberryplank
