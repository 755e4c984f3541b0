#pragma once

#include <array>
#include <mutex>

#include "mulberryplank/state/latencyseries.h"

namespace mulberryplank
{

// Latencies of answered requests, in shards, so that workers don't wait for one another.
class RequestMetrics
{
public:
    RequestMetrics() = default;
    RequestMetrics(const RequestMetrics &) = delete;
    RequestMetrics &operator=(const RequestMetrics &) = delete;

    // Records one answered request: its whole time here, and the part of it that targets took.
    void record(Duration total, Duration atTarget);

    // Writes the histograms mulberryplank_request_seconds and mulberryplank_added_seconds (the whole time less the
    // targets' part).
    void write(MetricsText &metrics) const;

private:
    struct Shard {
        mutable std::mutex mutex;
        LatencySeries total;
        LatencySeries added;
    };

    static constexpr std::size_t ShardCount = 8;

    std::array<Shard, ShardCount> m_shards;
};

} // namespace mulberryplank
