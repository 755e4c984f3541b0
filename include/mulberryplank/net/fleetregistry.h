#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/net/keyedstore.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// What a process needs to talk with the others.
struct FleetEntry {
    std::string key; // signs what processes tell each other
    std::vector<Endpoint> peers; // where others listen or listened: some may be gone
};

struct FleetRegistrySettings {
    VmName vm;
    Endpoint peer; // of this process
    Duration retryPause = Millis(250); // after the first failure; twice as long after each further one
    Duration mostRetryPause = Seconds(1); // a whole fleet may start while the store is away, and calls are billed
    Duration mostSpread = Millis(400); // by which processes that start together are spread before one makes the key
};

// Registers this process in the platform's store and returns the fleet's key and the others' addresses. The first
// process of a fleet makes the key: a conditional append lets one of several win. Goes on until the store has answered;
// appends whose answer was lost are found again, or repeated without harm. `randomKey` returns a new key, `spread` a
// number from 0 to 1.
boost::asio::awaitable<FleetEntry> joinFleet(boost::asio::io_context &context,
                                             KeyedStore store,
                                             FleetRegistrySettings settings,
                                             std::function<std::string()> randomKey,
                                             std::function<double()> spread);

} // namespace mulberryplank
