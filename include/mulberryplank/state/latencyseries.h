#pragma once

#include <boost/histogram.hpp>

#include "mulberryplank/base/metricstext.h"
#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// A histogram of durations for the metrics, from 10 microseconds to 100 seconds. Thread-compatible.
class LatencySeries
{
public:
    LatencySeries();

    // Adds one duration.
    void record(Duration span);

    // Adds the counts of `other`.
    LatencySeries &operator+=(const LatencySeries &other);

    // Writes the buckets, sum and count as samples of the metrics' current family.
    void write(MetricsText &metrics, const std::vector<MetricLabel> &labels = {}) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram m_histogram;
    double m_sum = 0; // seconds
};

} // namespace mulberryplank
