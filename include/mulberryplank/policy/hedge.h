#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

struct HedgeSettings {
    double quantile = 0.95; // of the route's latency
    std::uint32_t minSamples = 100; // number of responses required before hedging starts
    std::uint32_t window = 4'096; // number of samples after which the weight of older ones is halved
    Millis minDelay { 2 }; // hedging never starts earlier than this
};

// Estimates when the response of a route is late. Memory use is constant: latencies are counted in buckets that grow by
// a fifth, so the result exceeds the true quantile by a fifth at most. Thread-compatible.
class HedgeDelay
{
public:
    explicit HedgeDelay(HedgeSettings settings = {});

    // Records the time until a response's header arrived. Must also be called for attempts that lost against a hedge,
    // with the time they had run; otherwise hedging would hide the slowness that triggers it.
    void recordLatency(Duration latency);

    // Returns the delay before a second attempt is started in parallel with the first, or nothing while too few
    // responses were recorded.
    std::optional<Duration> delay() const;

private:
    static constexpr std::size_t Buckets = 96;

    void halve();

    HedgeSettings m_settings;
    std::array<std::uint32_t, Buckets> m_counts {};
    std::uint32_t m_total = 0;
};

} // namespace mulberryplank
