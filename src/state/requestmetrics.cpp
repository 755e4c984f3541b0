#include "mulberryplank/state/requestmetrics.h"

#include <algorithm>
#include <thread>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Returns a number that differs between threads unless their hashes collide.
std::size_t threadNumber()
{
    return std::hash<std::thread::id> {}(std::this_thread::get_id());
}

} // namespace

} // namespace internal

void RequestMetrics::record(Duration total, Duration atTarget)
{
    Shard &shard = m_shards[internal::threadNumber() % ShardCount];
    const std::lock_guard lock(shard.mutex);
    shard.total.record(total);
    shard.added.record(std::max(Duration::zero(), total - atTarget));
}

void RequestMetrics::write(MetricsText &metrics) const
{
    LatencySeries total;
    LatencySeries added;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        total += shard.total;
        added += shard.added;
    }
    metrics.family("request_seconds", "histogram", "Time of answered requests.");
    total.write(metrics);
    metrics.family("added_seconds", "histogram", "Time of answered requests outside of targets, queueing included.");
    added.write(metrics);
}

} // namespace mulberryplank
