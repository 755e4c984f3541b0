#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mulberryplank/net/httpstream.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// One connection to a target. Carries one request at a time.
class TargetConnection
    : public boost::intrusive_ref_counter<TargetConnection, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    TargetConnection(DataSocket socket, TimerWheel &wheel, InputEnd inputEnd = InputEnd::Connection)
        : stream(std::move(socket), wheel, inputEnd)
    {
    }

    HttpStream stream;
    Instant openedAt {}; // by this process; unset if it leads through another gateway
    Instant lastResponse {}; // when the last complete response was received
    bool reused = false; // a response was received over it before
    std::optional<Duration> keepAliveTimeout; // how long the target keeps it open while idle, from its last response
    Incarnation relay = 0; // the gateway that it leads through; 0: none
};

using TargetConnectionPtr = boost::intrusive_ptr<TargetConnection>;

// The idle connections of one thread, by target address. A connection is added only after a complete response with no
// input left over. Otherwise one caller's response could reach another caller.
class TargetPool
{
public:
    struct Settings {
        Duration idleLimit = Seconds(30); // connections are closed before targets or the network path drop them
        Duration nonIdempotentIdleLimit =
            Seconds(2); // how long after a response a connection may be used for a non-idempotent request
        std::size_t idlePerTarget = 8;
    };

    TargetPool(DataExecutor executor, TimerWheel &wheel, Settings settings);
    ~TargetPool();
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    // Returns an idle connection to `endpoint` that the peer has not closed, or nullptr. The most recently used
    // connection is returned first. For a non-idempotent request only a connection with a recent response is returned:
    // bytes sent on an unresponsive connection would leave the outcome of the request unknown. A connection that has
    // been idle for longer than `maxIdle` is not returned for either.
    TargetConnectionPtr take(const Endpoint &endpoint,
                             bool idempotent,
                             Instant now,
                             Duration maxIdle = Duration::max());

    // Returns true if there is an idle connection to `endpoint`. The peer may have closed it.
    bool has(const Endpoint &endpoint) const;

    // Returns true if there is an idle connection to `endpoint` that the peer has not closed.
    bool hasOpen(const Endpoint &endpoint);

    // Returns the connection to the pool, or closes it when enough are idle. `stream` must be at the end of a response.
    void put(const Endpoint &endpoint, TargetConnectionPtr connection, Instant now);

    // Returns a connection that is not connected yet and is about to be opened at `now`.
    TargetConnectionPtr create(Instant now);

    // Returns a connection that leads through another gateway, over a connected socket.
    TargetConnectionPtr adopt(DataSocket socket, Incarnation relay, InputEnd inputEnd);

    // Closes all idle connections to `endpoint`. Used when one of them was unresponsive.
    void closeIdle(const Endpoint &endpoint);

    // Closes the idle connections that lead through gateways for which `isUnusable` returns true.
    void closeRelayed(const std::function<bool(Incarnation)> &isUnusable);

    // Closes connections that have been idle for too long.
    void sweep(Instant now);

    // Returns true if an idle connection leads through another gateway.
    bool hasRelayed() const;

    // Returns the number of idle connections.
    std::size_t idleCount() const;

private:
    using IdleList = boost::intrusive::list<TargetConnection, boost::intrusive::constant_time_size<false>>;
    struct Idle {
        IdleList list;
        std::size_t size = 0;
    };

    TargetConnectionPtr pop(Idle &idle);

    DataExecutor m_executor;
    TimerWheel &m_wheel;
    Settings m_settings;
    std::unordered_map<std::string, Idle> m_idle;
};

} // namespace mulberryplank
