#pragma once

#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/event.h"
#include "mulberryplank/net/crashmessages.h"
#include "mulberryplank/net/keyedstore.h"

namespace mulberryplank
{

struct PoisonGuardSettings {
    CrashAttributionSettings attribution;
    // How long a request is refused. When the time is over, up to three targets crash if the service is not repaired.
    Duration quarantineTime = Seconds(600);
    std::size_t maxQuarantined = 64;
    // Crashes that are reported to others in each second. Further ones are evidence for this process alone: when a rack
    // of targets fails, no request is the cause.
    std::size_t maxReportsPerSecond = 10;
    Duration syncInterval = Seconds(2); // between two messages with all quarantined requests
    // After a request was added, such messages are sent with each tick: a process that missed the first ones has to
    // refuse the request within three seconds.
    Duration spreadTime = Seconds(3);
    std::size_t forwardTo = 3; // random processes that each process tells of a newly quarantined request
    Duration storeRetryInterval = Seconds(1);
};

struct PoisonGuardHooks {
    // Sends to some ingress proxies, the same from all processes.
    std::function<void(const CrashMessage &)> sendCrashes;
    // Sends to all ingress proxies, which send most requests to targets.
    std::function<void(const std::vector<QuarantinedRequest> &)> sendQuarantinedToIngress;
    // Sends to `count` random processes.
    std::function<void(const std::vector<QuarantinedRequest> &, std::size_t count)> sendQuarantinedToRandom;
    // Sends to the process that follows this one in an order of all processes, so that each is sent messages by one.
    std::function<void(const std::vector<QuarantinedRequest> &)> sendQuarantinedToNext;
    // Returns whether this process writes quarantined requests to the store. A few processes do.
    std::function<bool()> writesStore;
};

// Refuses requests that crash the targets that run them, at all processes of the fleet. The processes that send
// requests to targets tell each other of crashes and of suspects that were cleared, so that each can attribute crashes.
// Which requests are quarantined spreads to all processes and is kept in the store, which outlives the loss of all
// processes. Messages and memory are bounded whatever the number of targets. Must be used on the thread that runs the
// io_context, which must outlive it.
class PoisonGuard
{
public:
    PoisonGuard(boost::asio::io_context &context,
                KeyedStore store,
                PoisonGuardSettings settings,
                PoisonGuardHooks hooks,
                EventSink events);
    PoisonGuard(const PoisonGuard &) = delete;
    PoisonGuard &operator=(const PoisonGuard &) = delete;

    // Adds the requests that the store listed when the process started.
    void load(const std::vector<RequestFingerprint> &quarantined);

    // Returns how long the request is refused still, or nothing if it may be sent to targets.
    std::optional<Duration> quarantineLeft(RequestFingerprint request) const;

    // Returns whether the request has succeeded lately.
    bool hasSucceeded(RequestFingerprint request) const;

    // Records that a target has run the request and survived.
    void recordSuccess(RequestFingerprint request);

    // Records that a target has responded to the request with an error.
    void recordError(RequestFingerprint request);

    // Records a crash that this process has detected.
    void recordCrash(const CrashReport &report);

    // Apply messages of other processes.
    void merge(const CrashMessage &message);
    void mergeQuarantined(const std::vector<QuarantinedRequest> &requests);

    // Must be called when the store has come back from an older copy, which may lack requests.
    void storeWentBack();

    // Must be called regularly, several times in a syncInterval.
    void tick();

    // Returns the quarantined requests.
    std::vector<QuarantinedRequest> quarantined() const;

private:
    void addCrash(const CrashReport &report, Instant now);
    bool quarantine(const QuarantinedRequest &entry, std::string_view source);
    void expire(Instant now);
    bool mayReport(Instant now);
    std::vector<RequestFingerprint> unstored() const;
    void writeChanges();
    boost::asio::awaitable<void> writeAll();

    boost::asio::io_context &m_context;
    KeyedStore m_store;
    const PoisonGuardSettings m_settings;
    const PoisonGuardHooks m_hooks;
    EventSink m_events;
    CrashAttribution m_attribution;
    Quarantine m_quarantine;
    std::unordered_set<RequestFingerprint> m_stored; // as far as this process knows
    std::unordered_set<RequestFingerprint> m_toRemove; // from the store
    bool m_writing = false;
    Instant m_nextSync {};
    Instant m_reportsSince {}; // the start of the second in which m_reports were sent
    std::size_t m_reports = 0;
    Instant m_spreadUntil {};
};

} // namespace mulberryplank
