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

// A service that this process serves, with the configuration that its state was given last.
struct ServedService {
    ServiceStatePtr state;
    ServiceViewPtr config;
};

// The services that this process serves, in shards, each under its own lock. Requests hold a shard's lock for one
// look-up.
class ServiceRegistry
{
public:
    ServiceRegistry() = default;
    ServiceRegistry(const ServiceRegistry &) = delete;
    ServiceRegistry &operator=(const ServiceRegistry &) = delete;

    // Adds the service or replaces what is known of it.
    void put(const ServiceName &name, ServedService served);

    // Forgets the service. Requests under way keep its state alive.
    void remove(const ServiceName &name);

    // Returns the service if it is served here.
    std::optional<ServedService> find(const ServiceName &name) const;

    // Returns all services, in no order.
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
