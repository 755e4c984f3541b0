#include "mulberryplank/state/serviceregistry.h"

namespace mulberryplank
{

const ServiceRegistry::Shard &ServiceRegistry::shardOf(const ServiceName &name) const
{
    return m_shards[std::hash<ServiceName> {}(name) % ShardCount];
}

ServiceRegistry::Shard &ServiceRegistry::shardOf(const ServiceName &name)
{
    return m_shards[std::hash<ServiceName> {}(name) % ShardCount];
}

void ServiceRegistry::put(const ServiceName &name, ServedService served)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    shard.services.insert_or_assign(name, std::move(served));
}

void ServiceRegistry::remove(const ServiceName &name)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    shard.services.erase(name);
}

std::optional<ServedService> ServiceRegistry::find(const ServiceName &name) const
{
    const Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.services.find(name);
    if (found == shard.services.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<ServedService> ServiceRegistry::all() const
{
    std::vector<ServedService> services;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[name, served] : shard.services) {
            services.push_back(served);
        }
    }
    return services;
}

} // namespace mulberryplank
