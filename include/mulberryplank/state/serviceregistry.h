#pragma once

#include <array>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mulberryplank/state/configstate.h"
#include "mulberryplank/state/servicestate.h"

namespace mulberryplank
{

// A service that this process serves, with the configuration last passed to its state.
struct ServedService {
    ServiceStatePtr state;
    ServiceViewPtr config;
};

// The services that this process serves. Thread-safe. Sharded; each shard has its own lock, which a request holds for
// one lookup.
class ServiceRegistry
{
public:
    ServiceRegistry() = default;
    ServiceRegistry(const ServiceRegistry &) = delete;
    ServiceRegistry &operator=(const ServiceRegistry &) = delete;

    // Adds the service or replaces its entry.
    void put(const ServiceName &name, ServedService served);

    // Removes the service. Requests in progress keep its state alive.
    void remove(const ServiceName &name);

    // Returns the service, or nothing if this process doesn't serve it.
    std::optional<ServedService> find(const ServiceName &name) const;

    // Returns all services in unspecified order.
    std::vector<ServedService> all() const;

private:
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<ServiceName, ServedService> services;
    };

    static constexpr std::size_t ShardCount = 16;

    const Shard &shardOf(const ServiceName &name) const;
    Shard &shardOf(const ServiceName &name);

    std::array<Shard, ShardCount> m_shards;
};

} // namespace mulberryplank
