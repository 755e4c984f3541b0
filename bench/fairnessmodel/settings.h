#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "scheduler.h"

namespace mulberryplank::fairnessmodel
{

// What one account asks for.
struct Load {
    double weight = 1;
    double slots = 0; // slot-time per second
    double cost = 0.02; // mean slot-time of a request in seconds
    bool fixedCost = false; // else exponentially distributed
    std::vector<double> proxyShares; // how its requests spread over the proxies; sums up to 1
};

struct Settings {
    Policy policy = Policy::FairQueue;
    std::uint32_t seed = 1;
    std::size_t proxies = 4;
    int slots = 40;
    double seconds = 40;
    double warmUp = 10; // not measured
    double deadline = 10; // seconds that each request may take in all
    int retries = 0; // by clients whose request was refused or shed
    double retryDelay = 0.05; // seconds; clients come back after the answer's Retry-After if that is later
    bool honorRetryAfter = true;
    bool shareCapacity = true; // by FleetShares; else whoever asks first takes a free slot
    std::uint32_t totalQueue = 1'024; // of each proxy
    bool useOverloadControl = false; // by OverloadControl
    std::function<int(double second)> slotsAt; // the targets' slots as time goes on
    std::function<double(double second)> loadAt; // a factor on all loads as time goes on
};

// What became of one account's requests within the measured time.
struct AccountResult {
    double offered = 0; // slot-time per second, without retries
    double served = 0; // slot-time per second
    std::vector<double> waits; // seconds from arrival until the start
    std::vector<double> responseTimes; // seconds from arrival until the answer
};

struct SimulationResult {
    std::vector<AccountResult> accounts;
    std::vector<double> goodput; // by second: slot-time of requests that were answered in time
    std::vector<double> waits; // by second: the longest wait of those started
    std::uint64_t reports = 0;
};

} // namespace mulberryplank::fairnessmodel
