#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

struct HedgeSettings {
    double quantile = 0.95; // of the route's latency
    std::uint32_t minSamples = 100; // no hedging before so many answers were seen
    std::uint32_t window = 4'096; // samples after which the weight of older ones is halved
    Millis minDelay { 2 }; // never hedge earlier than this
};

// Learns after which time an answer of one route is late. Memory is constant: latencies are counted in buckets that
// grow by a fifth, so the result lies at most a fifth above the true quantile. Not thread-safe.
class HedgeDelay
{
public:
    explicit HedgeDelay(HedgeSettings settings = {});

    // Records the time that an answer's header took. Latencies of attempts that lost against a hedge belong here too,
    // as the time they had run so far; otherwise hedging would hide the slowness that it answers.
    void recordLatency(Duration latency);

    // Returns the time to wait before a second attempt is made beside the first, or nothing while too few answers were
    // seen.
    std::optional<Duration> delay() const;

private:
    static constexpr std::size_t Buckets = 96;

    void halve();

    HedgeSettings m_settings;
    std::array<std::uint32_t, Buckets> m_counts {};
    std::uint32_t m_total = 0;
};

} // namespace mulberryplank
