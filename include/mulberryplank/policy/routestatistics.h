#pragma once

#include <cstddef>
#include <optional>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/detector.h"

namespace mulberryplank
{

// How long a route's requests take and how large their answers are, from the successes of late. Not synchronized.
class RouteStatistics
{
public:
    // An attempt was answered with success.
    void add(Duration latency, std::size_t responseBytes);

    // Returns the mean latency in seconds, or 0 before the first answer.
    double meanSeconds() const;

    // Returns the mean size of an answer in bytes.
    double meanBytes() const;

    // Returns the latency that `share` (0 to 1) of the answers didn't exceed, or nothing before there are enough of
    // them.
    std::optional<Duration> quantile(double share) const;

    // Returns the part of a healthy target's answers that take longer than `age`. Before there are enough answers it
    // falls with `assumedMean`. Never below a small part: answers are late for reasons that no sample of usual size
    // shows.
    double survival(Duration age, Duration assumedMean) const;

private:
    LatencyHistogram m_latencies;
    double m_meanSeconds = 0;
    double m_meanBytes = 0;
};

} // namespace mulberryplank
