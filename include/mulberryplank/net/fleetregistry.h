#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/net/keyedstore.h"
#include "mulberryplank/policy/fleetseeds.h"

namespace mulberryplank
{

// What a process needs to talk with the others.
struct FleetBootstrap {
    std::string key; // signs what processes tell each other
    std::vector<FleetSeed> seeds; // as the store names them, this process perhaps among them; some may be removed
};

struct FleetRegistrySettings {
    FleetSeed self;
    // The platform says that the whole fleet starts for the first time: there is no key to be expected yet.
    bool firstStart = false;
    Duration retryInterval = Millis(250); // after the first failure; twice as long after each further one
    Duration maxRetryInterval = Seconds(1); // a whole fleet may start while the store is away, and calls are billed
    Millis maxStartJitter { 400 }; // by which processes that start together are jitter before one makes the key
};

// Returns the fleet's key and seeds from the platform's store: one small read for each start, whatever the size of the
// fleet. The first process of a fleet makes the key and is its first seed: a conditional append lets one of several
// win, while the others wait for its record. Goes on until the store has answered; an append whose answer was lost is
// found again. `randomKey` returns a new key, `jitter` a number from 0 to 1.
boost::asio::awaitable<FleetBootstrap> joinFleet(boost::asio::io_context &context,
                                                 KeyedStore store,
                                                 FleetRegistrySettings settings,
                                                 std::function<std::string()> randomKey,
                                                 std::function<double()> jitter);

// Returns the key, empty if there is none, and the seeds. Errors: PlatformUnavailable.
boost::asio::awaitable<Result<FleetBootstrap>> readFleet(KeyedStore store);

// Names `seed` in the store, and no longer those of `removed`. Errors: PlatformUnavailable, after which it may or may
// not have been done; repeating it does no harm.
boost::asio::awaitable<Result<void>> registerSeed(KeyedStore store, FleetSeed seed, std::vector<VmName> removed);

} // namespace mulberryplank
