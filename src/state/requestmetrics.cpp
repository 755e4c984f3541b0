#include "mulberryplank/state/requestmetrics.h"

#include <algorithm>
#include <sstream>
#include <thread>

namespace mulberryplank
{

namespace internal
{

constexpr unsigned BucketCount = 32;
constexpr double LeastSeconds = 0.00001;
constexpr double MostSeconds = 100;

// Returns a number that differs between threads as far as there are numbers.
std::size_t threadNumber()
{
    return std::hash<std::thread::id> {}(std::this_thread::get_id());
}

template<typename Histogram>
void writeHistogram(std::ostream &out, const char *name, const char *help, const Histogram &histogram, double sum)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " histogram\n";
    double count = histogram.at(-1);
    for (int index = 0; index < static_cast<int>(BucketCount); ++index) {
        count += histogram.at(index);
        out << name << "_bucket{le=\"" << histogram.axis().bin(index).upper() << "\"} " << count << '\n';
    }
    count += histogram.at(static_cast<int>(BucketCount));
    out << name << "_bucket{le=\"+Inf\"} " << count << '\n';
    out << name << "_sum " << sum << '\n';
    out << name << "_count " << count << '\n';
}

} // namespace internal

RequestMetrics::RequestMetrics()
{
    const Axis axis(internal::BucketCount, internal::LeastSeconds, internal::MostSeconds);
    for (Shard &shard : m_shards) {
        shard.total = boost::histogram::make_histogram(axis);
        shard.added = boost::histogram::make_histogram(axis);
    }
}

void RequestMetrics::note(Duration total, Duration atTarget)
{
    const std::size_t thread = internal::threadNumber();
    Shard &shard = m_shards[thread % ShardCount];
    const double totalSeconds = toSeconds(total);
    const double addedSeconds = std::max(0.0, toSeconds(total - atTarget));
    const std::lock_guard lock(shard.mutex);
    shard.total(totalSeconds);
    shard.added(addedSeconds);
    shard.totalSum += totalSeconds;
    shard.addedSum += addedSeconds;
}

std::string RequestMetrics::exposition() const
{
    const Axis axis(internal::BucketCount, internal::LeastSeconds, internal::MostSeconds);
    auto total = boost::histogram::make_histogram(axis);
    auto added = boost::histogram::make_histogram(axis);
    double totalSum = 0;
    double addedSum = 0;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        total += shard.total;
        added += shard.added;
        totalSum += shard.totalSum;
        addedSum += shard.addedSum;
    }
    std::ostringstream out;
    internal::writeHistogram(out, "mulberryplank_request_seconds", "Time of answered requests.", total, totalSum);
    internal::writeHistogram(out,
                             "mulberryplank_added_seconds",
                             "Time of answered requests outside of targets, queueing included.",
                             added,
                             addedSum);
    return out.str();
}

} // namespace mulberryplank
