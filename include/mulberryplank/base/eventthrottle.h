#pragma once

#include <cstdint>
#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Limits the number of log lines during a series of failures: passes one event per interval and counts the suppressed
// ones. Thread-compatible.
class EventThrottle
{
public:
    explicit EventThrottle(Duration interval)
        : m_interval(interval)
    {
    }

    // Returns the number of events suppressed since the last one that passed, or nothing if this event is suppressed.
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
