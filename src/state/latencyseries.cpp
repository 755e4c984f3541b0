#include "mulberryplank/state/latencyseries.h"

#include <sstream>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Four to five buckets per power of ten, so that a quantile is accurate to within a third of its value.
constexpr unsigned BucketCount = 32;
constexpr double MinSeconds = 0.00001;
constexpr double MaxSeconds = 100;

std::string boundText(double seconds)
{
    std::ostringstream text;
    text << seconds;
    return text.str();
}

} // namespace

} // namespace internal

LatencySeries::LatencySeries()
    : m_histogram(
        boost::histogram::make_histogram(Axis(internal::BucketCount, internal::MinSeconds, internal::MaxSeconds)))
{
}

void LatencySeries::record(Duration span)
{
    const double seconds = toSeconds(span);
    m_histogram(seconds);
    m_sum += seconds;
}

LatencySeries &LatencySeries::operator+=(const LatencySeries &other)
{
    m_histogram += other.m_histogram;
    m_sum += other.m_sum;
    return *this;
}

void LatencySeries::write(MetricsText &metrics, const std::vector<MetricLabel> &labels) const
{
    std::vector<MetricLabel> bounded = labels;
    bounded.push_back({ "le", "" });
    double count = m_histogram.at(-1);
    for (int index = 0; index < static_cast<int>(internal::BucketCount); ++index) {
        count += m_histogram.at(index);
        bounded.back().value = internal::boundText(m_histogram.axis().bin(index).upper());
        metrics.sample(count, bounded, "_bucket");
    }
    count += m_histogram.at(static_cast<int>(internal::BucketCount));
    bounded.back().value = "+Inf";
    metrics.sample(count, bounded, "_bucket");
    metrics.sample(m_sum, labels, "_sum");
    metrics.sample(count, labels, "_count");
}

} // namespace mulberryplank
