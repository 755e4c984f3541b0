#pragma once

#include <cstdint>
#include <vector>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Index of a client account within the state of one service in one process. Allocated densely from 0, since memory
// grows with the largest index.
using AccountIndex = std::uint32_t;

struct CostModelSettings {
    Duration initialCost = Millis(25); // assumed until the first request has ended
    Duration minimumCost = std::chrono::microseconds(500); // lower bound of the cost of a request to its target
    double gain = 0.1; // weight of each new sample in the moving averages, 0 to 1
    double priorSamples = 4; // number of samples of an account at which they weigh as much as the route's average
};

// Estimates the slot-time that a request will cost its target, learned per route and per account and route. An account
// with few samples is estimated by the route's average. One model per service. Thread-compatible.
class CostModel
{
public:
    explicit CostModel(CostModelSettings settings);

    // Returns the expected slot-time of a request, at least the minimum cost. O(1).
    Duration estimate(AccountIndex account, std::uint16_t route) const;

    // Returns the moving average over all requests of the service.
    Duration averageCost() const;

    // Returns the geometric mean over all requests of the service, which a few very large requests hardly raise.
    Duration typicalCost() const;

    // Returns the cost of a request that took `slotTime`: the minimum cost for shorter ones.
    Duration costOf(Duration slotTime) const;

    // Records the actual slot-time of a request that has ended.
    void learn(AccountIndex account, std::uint16_t route, Duration slotTime);

    // Discards the samples of an account, whose index may then be reused.
    void forget(AccountIndex account);

private:
    struct Average {
        float value = 0; // in seconds, or their logarithm
        float samples = 0; // up to 1 / gain, after which the average is a plain moving one
    };

    static void update(Average &average, double value, double gain);
    static std::size_t cell(std::uint16_t route);

    CostModelSettings m_settings;
    Average m_service;
    Average m_logCost; // over all requests of the service
    Duration m_typical {};
    std::vector<Average> m_routes;
    std::vector<std::vector<Average>> m_accounts; // by account, then by route
};

} // namespace mulberryplank
