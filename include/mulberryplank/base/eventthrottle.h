#pragma once

#include <cstdint>
#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Keeps a flood of failures from becoming a flood of log lines: lets one through in each interval and counts the
// others. Not synchronized.
class EventThrottle
{
public:
    explicit EventThrottle(Duration interval)
        : m_interval(interval)
    {
    }

    // Returns how many were kept back since the last one that went through, or nothing if this one is kept back.
    std::optional<std::uint64_t> pass(Instant now)
    {
        if (m_last != Instant {} && now - m_last < m_interval) {
            ++m_suppressed;
            return std::nullopt;
        }
        m_last = now;
        const std::uint64_t suppressed = m_suppressed;
        m_suppressed = 0;
        return suppressed;
    }

private:
    const Duration m_interval;
    Instant m_last {};
    std::uint64_t m_suppressed = 0;
};

} // namespace mulberryplank
