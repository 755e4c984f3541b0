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
    // The number of processes of each failure domain that are registered in the store. A new process finds no other one
    // only if all of them have stopped at once. It finds the processes that replace them when it reads the seeds again.
    std::size_t seedsPerDomain = 3;
    Duration interval = Seconds(1); // between two checks of the members
    // From the start until most members are known. Before that, no process registers itself.
    Duration settleTime = Seconds(4);
    // Without other members, before the seeds are read again; doubles each time. The first time it is up to half of it
    // less or more, so that few of many processes that start without a seed register themselves.
    Duration isolationTimeout = Seconds(2);
    Duration maxIsolationTimeout = Seconds(30);
    // After a return of the store from an older copy all processes read the records again, for each member within this
    // time: 500 reads a second of the 2,000 that the platform allows for all topics.
    Duration checkTimePerMember = Millis(2);
    Duration minCheckTime = Seconds(1);
    Duration recordsInterval = Seconds(30); // between two reads of the records by a registered process
};

struct SeedPublisherHooks {
    std::function<std::vector<Member>()> members; // returns the members that this process knows
    // Returns whether a seed was queried and no live member is known at its address.
    std::function<bool(const Endpoint &seed)> isUnresponsive;
    std::function<void(const std::vector<FleetSeed> &)> seedsFound; // called with the seeds that the store lists
    std::function<std::string()> fleetKey; // returns the key in use
    // Called with another key that the store holds, which a process that started without the lost one has created.
    std::function<void(const std::string &)> keyFound;
};

// Registers some processes of high capacity of each failure domain in the store as seeds, through which new processes
// find the fleet. If every process registered itself, each start would read a list that grows with the fleet, and write
// to it while all others do the same. A process that knows no other member reads the seeds again, and registers itself
// if none of them responds. Registered processes read the records at intervals: parts of a fleet that don't know each
// other find each other's seeds there. After the store came back from an older copy the fleet's key and the seeds are
// written again where they are missing. Must be used on the thread that runs the io_context, which must outlive it.
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

    // Starts publishing. `seeds` are those that the store listed when the process started. Must be called only once.
    void start(std::vector<FleetSeed> seeds);

    // Must be called when the store has come back from an older copy.
    void storeWentBack();

private:
    boost::asio::awaitable<void> checkRecords();
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> checkMembers();
    boost::asio::awaitable<void> search(const std::vector<Member> &members);
    boost::asio::awaitable<bool> refreshSeeds();
    boost::asio::awaitable<void> registerSelf(std::vector<Member> members);
    void setSeeds(std::vector<FleetSeed> seeds);
    void noteFailure(const Error &error);
    bool knowsOthers(const std::vector<Member> &members) const;
    bool hasUnqueriedSeed() const;

    boost::asio::io_context &m_context;
    KeyedStore m_store;
    const FleetSeed m_self;
    const Incarnation m_incarnation;
    const SeedPublisherSettings m_settings;
    const SeedPublisherHooks m_hooks;
    EventSink m_events;
    std::vector<FleetSeed> m_seeds; // as last read from the store
    bool m_registered = false; // whether this process is one of them
    Instant m_mayRegisterAt {};
    Instant m_retryAt {}; // after a failed registration
    std::optional<Instant> m_checkAt; // when to check the records after a return of the store
    Instant m_nextRecordsRead {};
    Instant m_nextSearch {};
    Duration m_searchInterval;
};

} // namespace mulberryplank
