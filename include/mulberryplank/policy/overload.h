#pragma once

#include <cstdint>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

struct OverloadSettings {
    Duration maxWait = Millis(1'000); // of a request in a full queue at the current capacity
    std::uint32_t minQueue = 8; // waiting requests that are allowed at any capacity
    std::uint32_t maxQueue = 4'096; // maximum number of waiting requests; bounds memory
    Duration doublingTime = Seconds(2); // time in which the bound doubles when capacity returns
};

// Computes how many requests of a service may wait in this process from the capacity of its targets. The bound falls
// with the capacity immediately, so that no request waits longer than `maxWait`. It grows back gradually, so that
// rejected callers that retry together don't fill the queue all at the same time. Thread-compatible.
class OverloadControl
{
public:
    explicit OverloadControl(OverloadSettings settings);

    // Updates the bound from the slots that this process can use and the average slot time of a request. Returns the
    // bound for FairQueue::setTotalQueue(). Must be called whenever the capacity changes, and about every second.
    std::uint32_t update(double slots, Duration averageCost, Instant now);

    // Returns the result of the last update(), or the minimum before the first call.
    std::uint32_t totalQueue() const;

private:
    OverloadSettings m_settings;
    double m_bound = 0;
    Instant m_updated {};
};

} // namespace mulberryplank
