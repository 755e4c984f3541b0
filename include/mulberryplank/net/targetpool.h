#pragma once

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
    TargetConnection(DataSocket socket, TimerWheel &wheel)
        : stream(std::move(socket), wheel)
    {
    }

    HttpStream stream;
    Instant lastResponse {}; // when the last whole answer arrived
    bool reused = false; // an answer has come over it before
    std::optional<Duration> keepAliveTimeout; // how long the target keeps it while idle, as its last answer said
};

using TargetConnectionPtr = boost::intrusive_ptr<TargetConnection>;

// The idle connections of one thread, by target address. A connection is put here only after a whole answer with
// nothing left over: anything else could carry one caller's answer to another caller.
class TargetPool
{
public:
    struct Settings {
        Duration idleLimit = Seconds(30); // targets and the path forget connections; ours go first
        Duration nonIdempotentIdleLimit =
            Seconds(2); // how long after an answer a connection is trusted with a request that runs once
        std::size_t idlePerTarget = 8;
    };

    TargetPool(DataExecutor executor, TimerWheel &wheel, Settings settings);
    ~TargetPool();
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    // Returns an idle connection to `endpoint` that the peer has not closed, or nullptr. The latest used goes first.
    // For a request that isn't idempotent only a connection that has answered a moment ago is taken: bytes sent on one
    // that has gone silent would leave the request's outcome unknown.
    TargetConnectionPtr take(const Endpoint &endpoint, bool idempotent, Instant now);

    // Returns true if there is an idle connection to `endpoint`, though it may have been closed by the peer.
    bool has(const Endpoint &endpoint) const;

    // Takes the connection back for reuse, or closes it when enough are idle. `stream` must be at the end of an answer.
    void put(const Endpoint &endpoint, TargetConnectionPtr connection, Instant now);

    // Returns a connection that is not connected yet.
    TargetConnectionPtr create();

    // Closes all idle connections to `endpoint`: used when one of them proved silent.
    void closeIdle(const Endpoint &endpoint);

    // Closes connections that have been idle for too long.
    void sweep(Instant now);

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
