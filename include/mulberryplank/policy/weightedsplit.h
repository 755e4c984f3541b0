#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "mulberryplank/policy/routetable.h"

namespace mulberryplank
{

// Divides the requests of each route among its services in proportion to their weights, by smooth weighted round robin.
// After any number of requests each service's count is within one of its share, where independent random choices would
// be off by the square root of the count. Each process begins at a position derived from `seed`, so that processes with
// few requests don't all begin with the same service. Thread-compatible.
class WeightedSplit
{
public:
    explicit WeightedSplit(std::uint64_t seed);

    // Returns the service for the next request of `route`, which must name at least one.
    const ServiceName &next(const HostRoute &route);

private:
    struct Division {
        std::vector<WeightedService> services;
        std::vector<double> credit;
    };

    Division &divisionOf(const HostRoute &route);

    std::uint64_t m_seed;
    std::unordered_map<std::string, Division> m_divisions; // by route name
};

} // namespace mulberryplank
