#pragma once

#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// What a target has said in a response about the requests that it still takes.
struct TargetNotice {
    bool isLeaving = false; // it is about to stop and takes no new requests
    // How long it wants no requests from the machine that it responded to; at most MaxTargetRest.
    std::optional<Duration> rest;
};

// A longer rest is taken for this one, so that times can be computed with it.
inline constexpr Duration MaxTargetRest = std::chrono::hours(24);

} // namespace mulberryplank
