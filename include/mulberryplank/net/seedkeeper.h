#pragma once

#include <functional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/event.h"
#include "mulberryplank/net/fleetregistry.h"

namespace mulberryplank
{

struct SeedKeeperSettings {
    // So many processes of each failure domain are named in the store. A newcomer finds nobody only if all of them are
    // gone at once; it is then found by those that take their places.
    std::size_t seedsPerDomain = 3;
    Duration interval = Seconds(1); // between two looks at the members
    Duration settle = Seconds(4); // from the start until most members are known, before which nobody names itself
    Duration aloneFor = Seconds(2); // that nobody else is known, before the seeds are read again; doubles each time
    Duration mostAloneFor = Seconds(30);
};

struct SeedKeeperHooks {
    std::function<std::vector<Member>()> members; // as this process knows them
    std::function<void(const std::vector<FleetSeed> &)> seedsFound; // the store names these now
};

// Keeps some strong processes of each failure domain named in the store, for newcomers to find the fleet by. If every
// process named itself, a start would read a list that grows with the fleet, and write to it, while all others do the
// same. A process that knows nobody else looks for newer names there. Everything belongs to the thread that runs the
// io_context, which must outlive it.
class SeedKeeper
{
public:
    SeedKeeper(boost::asio::io_context &context,
               KeyedStore store,
               FleetSeed self,
               Incarnation incarnation,
               SeedKeeperSettings settings,
               SeedKeeperHooks hooks,
               EventSink events);
    SeedKeeper(const SeedKeeper &) = delete;
    SeedKeeper &operator=(const SeedKeeper &) = delete;

    // Begins, with the seeds that the store named at the start. To be called once.
    void start(std::vector<FleetSeed> seeds);

private:
    boost::asio::awaitable<void> keep();
    boost::asio::awaitable<void> look();
    boost::asio::awaitable<void> findOthers();
    boost::asio::awaitable<void> nameItself(std::vector<Member> members);
    void takeSeeds(std::vector<FleetSeed> seeds);
    void noteFailure(const Error &error);
    bool knowsOthers(const std::vector<Member> &members) const;

    boost::asio::io_context &m_context;
    KeyedStore m_store;
    const FleetSeed m_self;
    const Incarnation m_incarnation;
    const SeedKeeperSettings m_settings;
    const SeedKeeperHooks m_hooks;
    EventSink m_events;
    std::vector<FleetSeed> m_seeds; // as the store named them last
    bool m_named = false; // this process is among them
    Instant m_settledAt {};
    Instant m_retryAt {}; // after a call that failed
    Instant m_nextSearch {};
    Duration m_searchPause;
};

} // namespace mulberryplank
