#pragma once

#include <chrono>

namespace mulberryplank
{

// A point on the monotonic clock. Decision logic receives it as an argument and never reads a clock, so tests and
// benchmarks can pass any time.
using Instant = std::chrono::steady_clock::time_point;

// A span of time in nanoseconds, the resolution of Instant.
using Duration = std::chrono::nanoseconds;

using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// Returns `duration` in seconds as a floating point number.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Returns the Duration nearest to `seconds`.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace mulberryplank
