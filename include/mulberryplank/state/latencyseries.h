#pragma once

#include <boost/histogram.hpp>

#include "mulberryplank/base/metricstext.h"
#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// A histogram of times for the metrics, from 10 microseconds to 100 seconds. Not synchronized.
class LatencySeries
{
public:
    LatencySeries();

    // Counts one time.
    void record(Duration span);

    // Adds all that `other` has counted.
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
