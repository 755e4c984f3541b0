#pragma once

#include <array>
#include <mutex>

#include "mulberryplank/state/latencyseries.h"

namespace mulberryplank
{

// Latencies of requests that received a response. Thread-safe. Sharded so that workers don't wait for each other.
class RequestMetrics
{
public:
    RequestMetrics() = default;
    RequestMetrics(const RequestMetrics &) = delete;
    RequestMetrics &operator=(const RequestMetrics &) = delete;

    // Records a request that received a response: its total time in this process, and the part of it spent at targets.
    void record(Duration total, Duration atTarget);

    // Writes the histograms mulberryplank_request_seconds and mulberryplank_added_seconds (the total time less the time
    // at targets).
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
