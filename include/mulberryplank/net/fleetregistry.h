#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/net/keyedstore.h"
#include "mulberryplank/policy/fleetseeds.h"
#include "mulberryplank/policy/requestfingerprint.h"

namespace mulberryplank
{

// What a process needs to communicate with the other processes of the fleet.
struct FleetBootstrap {
    std::string key; // signs the messages between processes
    // As registered in the store; may include this process and processes that have stopped.
    std::vector<FleetSeed> seeds;
    std::vector<RequestFingerprint> quarantined; // requests that crash their targets
    StorePosition end; // of the records
};

struct FleetRegistrySettings {
    FleetSeed self;
    // The platform reports that the whole fleet starts for the first time: no key is expected in the store yet.
    bool firstStart = false;
    Duration retryInterval = Millis(250); // after the first failure; doubles after each further one
    // Limits the calls, which are billed, when a whole fleet starts during a store outage.
    Duration maxRetryInterval = Seconds(1);
    // Maximum random delay between processes that start together before one creates the key.
    Millis maxStartJitter { 400 };
};

// Returns the fleet's key and seeds from the platform's store. This costs one small read for each start, whatever the
// size of the fleet. The first process of a fleet creates the key and becomes its first seed: a conditional append lets
// exactly one of several processes succeed, while the others wait for its record. Retries until the store has
// responded. An append whose response was lost is found again by reading. `randomKey` returns a new key, `jitter` a
// number from 0 to 1.
boost::asio::awaitable<FleetBootstrap> joinFleet(boost::asio::io_context &context,
                                                 KeyedStore store,
                                                 FleetRegistrySettings settings,
                                                 std::function<std::string()> randomKey,
                                                 std::function<double()> jitter);

// Returns the key, which is empty if there is none, the seeds, and where the records end. Errors: PlatformUnavailable.
boost::asio::awaitable<Result<FleetBootstrap>> readFleet(KeyedStore store);

// Writes the fleet's key, and a seed, to a store that came back from a copy without it. `end` is where the records
// ended when the key was missing. Errors: PlatformUnavailable, as above; Conflict if another process has written since.
boost::asio::awaitable<Result<void>> restoreKey(KeyedStore store, std::string key, FleetSeed seed, StorePosition end);

// Registers `seed` in the store and removes the seeds of `removed`. Errors: PlatformUnavailable, after which the change
// may or may not have been made; repeating it is harmless.
boost::asio::awaitable<Result<void>> registerSeed(KeyedStore store, FleetSeed seed, std::vector<VmName> removed);

// Records in the store which requests are quarantined, for processes that start when no other one remembers. Errors:
// PlatformUnavailable, as above.
boost::asio::awaitable<Result<void>> recordQuarantined(KeyedStore store,
                                                       std::vector<RequestFingerprint> added,
                                                       std::vector<RequestFingerprint> removed);

} // namespace mulberryplank
