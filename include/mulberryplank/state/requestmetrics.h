#pragma once

#include <array>
#include <mutex>
#include <string>

#include <boost/histogram.hpp>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Latencies of answered requests, in shards, so that workers don't wait for one another.
class RequestMetrics
{
public:
    RequestMetrics();
    RequestMetrics(const RequestMetrics &) = delete;
    RequestMetrics &operator=(const RequestMetrics &) = delete;

    // Records one answered request: its whole time here, and the part of it that targets took.
    void note(Duration total, Duration atTarget);

    // Returns the histograms in the text exposition format: mulberryplank_request_seconds and
    // mulberryplank_added_seconds (the whole time less the targets' part).
    std::string exposition() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    struct Shard {
        mutable std::mutex mutex;
        Histogram total;
        Histogram added;
        double totalSum = 0;
        double addedSum = 0;
    };

    static constexpr std::size_t ShardCount = 8;

    std::array<Shard, ShardCount> m_shards;
};

} // namespace mulberryplank
