#pragma once

#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// What a target has said about the rate of requests that it takes.
struct RateLimitNotice {
    std::optional<double> perSecond; // from all proxies together; empty: the target has no limit
    Instant at {}; // the target said so at this time or later
};

// The rate limit of one target as known to this process. Thread-compatible.
class TargetRateLimit
{
public:
    // Applies a notice, from the target itself or from another process, unless a newer one is known. Returns whether
    // the limit has changed.
    bool apply(const RateLimitNotice &notice);

    // Returns the number of requests per second that the target takes from all proxies together, or nothing if it has
    // no limit.
    std::optional<double> perSecond() const;

private:
    RateLimitNotice m_notice;
};

} // namespace mulberryplank
