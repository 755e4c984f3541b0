#pragma once

#include <cstdint>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

struct OverloadSettings {
    Duration maxWait = Millis(1'000); // of a request in a full queue at the present capacity
    std::uint32_t minQueue = 8; // waiting requests that are allowed at any capacity
    std::uint32_t maxQueue = 4'096; // waiting requests that are allowed at most: bounds memory
    Duration doublingTime = Seconds(2); // that the bound takes to double when capacity returns
};

// Works out how many requests of a service may wait in this process, from what its targets can serve. The bound falls
// with the capacity at once, so that nothing waits longer than it is worth, and grows back gradually, so that callers
// that were refused and come back together don't fill the queue in one go. Not synchronized.
class OverloadControl
{
public:
    explicit OverloadControl(OverloadSettings settings);

    // Takes in the slots that this process can use now and the average slot-time of a request. Returns the bound for
    // FairQueue::setTotalQueue(). To be called whenever the capacity changes, and every second or so.
    std::uint32_t update(double slots, Duration averageCost, Instant now);

    // Returns the bound that update() returned last; the least one before the first call.
    std::uint32_t totalQueue() const;

private:
    OverloadSettings m_settings;
    double m_bound = 0;
    Instant m_updated {};
};

} // namespace mulberryplank
