#pragma once

#include <cstdint>
#include <vector>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// A small number that stands for one client account within one service's state in one process. Given out densely from
// 0, since memory grows with the largest one.
using AccountIndex = std::uint32_t;

struct CostModelSettings {
    Duration initialCost = Millis(25); // assumed until the first request has ended
    Duration minimumCost = std::chrono::microseconds(500); // what a request costs its target at least
    double gain = 0.1; // part of each new sample in the moving averages, 0 to 1
    double priorSamples = 4; // how many samples of its own an account needs until they outweigh the route's average
};

// Slot-time that a request will cost its target, learnt per route and per account and route. An account with few
// samples is estimated by the route's average. One model per service. Not synchronized.
class CostModel
{
public:
    explicit CostModel(CostModelSettings settings);

    // Returns the expected slot-time of a request, never below the minimum cost. O(1).
    Duration estimate(AccountIndex account, std::uint16_t route) const;

    // Returns the moving average over all requests of the service.
    Duration averageCost() const;

    // Returns the geometric mean over all requests of the service, which a few huge ones hardly raise.
    Duration typicalCost() const;

    // Returns what a request that took `slotTime` costs: the minimum cost for shorter ones.
    Duration costOf(Duration slotTime) const;

    // Takes in the real slot-time of a request that has ended.
    void learn(AccountIndex account, std::uint16_t route, Duration slotTime);

    // Forgets an account, whose index may then stand for another.
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
