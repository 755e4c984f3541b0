#pragma once

#include <set>

#include "mulberryplank/state/servicestate.h"

namespace mulberryplank
{

// The state of one target.
struct ServiceState::TargetEntry {
    TargetEntry(const Target &configured, TargetIndex targetIndex, std::uint32_t slots)
        : target(configured)
        , index(targetIndex)
        , endpoint { configured.host, configured.port }
        , limit(slots)
    {
    }

    Target target;
    TargetIndex index;
    Endpoint endpoint;
    ConcurrencyLimit limit;
    bool leavingByOwnReport = false; // reported by the target itself
    bool leavingByVmList = false;
    std::optional<std::uint32_t> reportedInFlight;
    Instant reportedAt {};
    std::multiset<Instant> waitingSince; // start times of attempts that have no first byte of a response yet
    std::uint64_t attempts = 0;
    std::uint64_t failures = 0;
};

struct ServiceState::AccountEntry {
    AccountIndex index = 0;
    Row row;
};

// An attempt between admit() and finish().
struct ServiceState::PendingAttempt {
    Admission admission;
    AccountIndex account = 0;
    WaiterPtr waiter; // while queued
    Instant startedAt {}; // once granted
};

} // namespace mulberryplank
