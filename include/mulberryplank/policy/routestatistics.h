#pragma once

#include <cstddef>
#include <optional>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/detector.h"

namespace mulberryplank
{

// Latencies and response sizes of a route's recent successes. Thread-compatible.
class RouteStatistics
{
public:
    // Records a successful attempt.
    void add(Duration latency, std::size_t responseBytes);

    // Returns the mean latency in seconds, or 0 before the first response.
    double meanSeconds() const;

    // Returns the mean size of a response in bytes.
    double meanBytes() const;

    // Returns the latency that `share` (0 to 1) of the responses didn't exceed, or nothing while there are too few
    // responses.
    std::optional<Duration> quantile(double share) const;

    // Returns the share of a healthy target's responses that take longer than `age`. While there are too few responses
    // it decays exponentially with `assumedMean`. It never falls below a minimum, since responses can be late for
    // reasons that a sample of usual size doesn't show.
    double survival(Duration age, Duration assumedMean) const;

private:
    LatencyHistogram m_latencies;
    double m_meanSeconds = 0;
    double m_meanBytes = 0;
};

} // namespace mulberryplank
