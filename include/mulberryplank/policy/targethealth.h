#pragma once

#include <cstdint>
#include <vector>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// A small number that stands for one target within one service's state in one process. Not reused while the process
// lives.
using TargetIndex = std::uint32_t;

// How a request to a target ended, as evidence about the target.
enum class AttemptResult : std::uint8_t {
    Success,
    ServerError, // a 5xx answer that isn't a shed
    Shed, // refused for load: not a sign of sickness
    ConnectFailed,
    Timeout,
    Stalled, // the body stopped
    Truncated,
    Mismatched, // an answer to something else
    Reset,
    Cancelled, // by the caller: no evidence about the target, but the time spent is known
};

std::string_view toString(AttemptResult result);

// One finished attempt.
struct Attempt {
    TargetIndex target = 0;
    std::uint16_t route = 0; // index of the route within its service, or NoRoute
    AttemptResult result = AttemptResult::Success;
    Duration latency {}; // until the first byte of the answer, or until it failed
};

inline constexpr std::uint16_t NoRoute = 0xffff;

// Where a target stands.
enum class TargetPhase : std::uint8_t {
    Healthy,
    Suspected, // gets less traffic
    Ejected, // gets none
    Trial, // gets single idempotent requests
    SlowStart, // gets a growing part of its traffic
    Draining, // leaving: no new work
};

std::string_view toString(TargetPhase phase);

} // namespace mulberryplank
