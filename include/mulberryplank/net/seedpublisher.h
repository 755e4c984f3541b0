#pragma once

#include <functional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/event.h"
#include "mulberryplank/net/fleetregistry.h"

namespace mulberryplank
{

struct SeedPublisherSettings {
    // So many processes of each failure domain are named in the store. A newcomer finds nobody only if all of them are
    // gone at once; it is then found by those that take their places.
    std::size_t seedsPerDomain = 3;
    Duration interval = Seconds(1); // between two looks at the members
    Duration settleTime = Seconds(4); // from the start until most members are known, before which nobody names itself
    Duration isolationTimeout =
        Seconds(2); // that nobody else is known, before the seeds are read again; doubles each time
    Duration maxIsolationTimeout = Seconds(30);
};

struct SeedPublisherHooks {
    std::function<std::vector<Member>()> members; // as this process knows them
    std::function<void(const std::vector<FleetSeed> &)> seedsFound; // the store names these now
};

// Keeps some strong processes of each failure domain named in the store, for newcomers to find the fleet by. If every
// process named itself, a start would read a list that grows with the fleet, and write to it, while all others do the
// same. A process that knows nobody else looks for newer names there. Everything belongs to the thread that runs the
// io_context, which must outlive it.
class SeedPublisher
{
public:
    SeedPublisher(boost::asio::io_context &context,
                  KeyedStore store,
                  FleetSeed self,
                  Incarnation incarnation,
                  SeedPublisherSettings settings,
                  SeedPublisherHooks hooks,
                  EventSink events);
    SeedPublisher(const SeedPublisher &) = delete;
    SeedPublisher &operator=(const SeedPublisher &) = delete;

    // Begins, with the seeds that the store named at the start. To be called once.
    void start(std::vector<FleetSeed> seeds);

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> checkMembers();
    boost::asio::awaitable<void> refreshSeeds();
    boost::asio::awaitable<void> registerSelf(std::vector<Member> members);
    void setSeeds(std::vector<FleetSeed> seeds);
    void noteFailure(const Error &error);
    bool knowsOthers(const std::vector<Member> &members) const;

    boost::asio::io_context &m_context;
    KeyedStore m_store;
    const FleetSeed m_self;
    const Incarnation m_incarnation;
    const SeedPublisherSettings m_settings;
    const SeedPublisherHooks m_hooks;
    EventSink m_events;
    std::vector<FleetSeed> m_seeds; // as the store named them last
    bool m_registered = false; // this process is among them
    Instant m_mayRegisterAt {};
    Instant m_retryAt {}; // after a call that failed
    Instant m_nextSearch {};
    Duration m_searchInterval;
};

} // namespace mulberryplank
