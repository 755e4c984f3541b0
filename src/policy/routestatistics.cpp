#include "mulberryplank/policy/routestatistics.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

namespace
{

constexpr float MinSamples = 20;
constexpr float SampleWindow = 400; // latencies; then the older ones lose half of their weight
constexpr double MeanWeight = 0.05; // of the newest answer
// The users' services answer about one request in a hundred several times later than the rest.
constexpr double MinSurvival = 0.01;

} // namespace

} // namespace internal

void RouteStatistics::add(Duration latency, std::size_t responseBytes)
{
    if (m_latencies.total() >= internal::SampleWindow) {
        m_latencies.decay(0.5F);
    }
    m_latencies.add(LatencyHistogram::bucketOf(latency));
    const double weight = m_meanSeconds <= 0 ? 1 : internal::MeanWeight;
    m_meanSeconds += weight * (toSeconds(latency) - m_meanSeconds);
    m_meanBytes += weight * (static_cast<double>(responseBytes) - m_meanBytes);
}

double RouteStatistics::meanSeconds() const
{
    return m_meanSeconds;
}

double RouteStatistics::meanBytes() const
{
    return m_meanBytes;
}

std::optional<Duration> RouteStatistics::quantile(double share) const
{
    if (m_latencies.total() < internal::MinSamples) {
        return std::nullopt;
    }
    return m_latencies.quantile(share);
}

double RouteStatistics::survival(Duration age, Duration assumedMean) const
{
    const float total = m_latencies.total();
    double result = 0;
    if (total < internal::MinSamples) {
        result = std::exp(-std::max(toSeconds(age), 0.0) / std::max(toSeconds(assumedMean), 1e-3));
    } else {
        result = 1 - static_cast<double>(m_latencies.below(LatencyHistogram::bucketOf(age)) / total);
    }
    return std::clamp(result, internal::MinSurvival, 1.0);
}

} // namespace mulberryplank
