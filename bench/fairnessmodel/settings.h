#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "scheduler.h"

namespace mulberryplank::fairnessmodel
{

// The demand of one account.
struct Load {
    double weight = 1;
    double slots = 0; // slot-time per second
    double cost = 0.02; // mean slot-time of a request in seconds
    bool fixedCost = false; // if false, exponentially distributed
    std::vector<double> proxyShares; // fraction of its requests per proxy, sums up to 1; empty: even
};

struct Settings {
    Policy policy = Policy::FairQueue;
    std::uint32_t seed = 1;
    std::size_t proxies = 4;
    int slots = 40;
    double seconds = 40;
    double warmUp = 10; // seconds at the start that are not measured
    double deadline = 10; // seconds from the arrival of an attempt until its response
    int retries = 0; // by clients whose request was rejected or shed
    double retryDelay = 0.05; // seconds; a longer Retry-After takes precedence, see honorRetryAfter
    bool honorRetryAfter = true;
    bool shareCapacity = true; // by FleetShares; if false, the first proxy to request a free slot gets it
    std::uint32_t totalQueue = 1'024; // of each proxy
    bool useOverloadControl = false; // bounds the queue by OverloadControl
    std::function<int(double second)> slotsAt; // the targets' slots over time; empty: constant
    std::function<double(double second)> loadAt; // a factor on all loads over time; empty: 1
};

// The results of one account's requests within the measured time.
struct AccountResult {
    double offered = 0; // slot-time per second, without retries
    double served = 0; // slot-time per second
    std::vector<double> waits; // seconds from arrival until the start
    std::vector<double> responseTimes; // seconds from arrival until the response
};

struct SimulationResult {
    std::vector<AccountResult> accounts;
    std::vector<double> goodput; // by second: slot-time of requests that completed before their deadline
    std::vector<double> waits; // by second: the longest wait of the requests started
    std::uint64_t reports = 0;
};

} // namespace mulberryplank::fairnessmodel
