#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>

#include "mulberryplank/base/event.h"
#include "mulberryplank/net/httpmessage.h"
#include "mulberryplank/policy/configmodel.h"
#include "mulberryplank/policy/member.h"
#include "mulberryplank/state/accountconnections.h"
#include "mulberryplank/state/configstate.h"
#include "mulberryplank/state/oncestate.h"
#include "mulberryplank/state/servicestate.h"

namespace mulberryplank
{

// The limits on what a caller controls. Without them one caller could take all of a process's memory or connections.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1ULL << 30;
    std::size_t maxBufferedBodyBytes =
        16 * 1024; // bodies up to this size are read whole before the request is admitted
    std::size_t maxKeyedBodyBytes =
        1024 * 1024; // the most for a request with an Idempotency-Key: its body is read whole
    Duration headerTimeout = Seconds(10); // from a header's first byte to its last
    Duration idleTimeout = Seconds(60); // between two requests
    Duration bodyIdleTimeout = Seconds(30); // between two pieces of a request's body
    Duration writeTimeout = Seconds(30); // for a caller to take a piece of an answer
    Duration lingerTimeout = Seconds(2); // for a caller to stop sending after an answer that closes its connection
    Duration connectTimeout = Seconds(1); // for a target to take a connection
    Duration reusedConnectionTimeout =
        Seconds(1); // after which a reused connection without a byte of answer is taken as dead
    std::size_t connections = 20'000; // in all
    std::size_t connectionsPerAccount = 4'000;
};

// What a caller's request needs to know of its service.
struct ServiceAccess {
    ServiceStatePtr state;
    ServiceViewPtr config;
};

// Counts that the metrics show. Written by all workers.
struct CallerCounters {
    std::atomic<std::uint64_t> connections { 0 }; // open now
    std::atomic<std::uint64_t> requests { 0 }; // under way now
    std::atomic<std::uint64_t> answered { 0 };
    std::atomic<std::uint64_t> refused { 0 }; // answered by us with an error
    std::atomic<std::uint64_t> aborted { 0 }; // answers broken off
    std::atomic<std::uint64_t> retries { 0 };
    std::atomic<std::uint64_t> hedges { 0 };
    std::atomic<std::uint64_t> resumes { 0 };
    std::atomic<std::uint64_t> unresponsiveConnections { 0 }; // reused connections given up without a byte of answer
    std::atomic<std::uint64_t> bytesToCallers { 0 };
};

// What all caller sessions of a process share. The functions may be called from any worker.
struct CallerContext {
    Incarnation incarnation = 0;
    CallerLimits limits;
    EventSink events;
    OnceState *once = nullptr;

    // Returns the digest of the account's secret, or nothing when there is no such account.
    std::function<std::optional<SecretDigest>(const AccountName &)> accountDigest;
    // Returns the service if this process carries it or can serve it.
    std::function<std::optional<ServiceAccess>(const ServiceName &)> findService;
    // Returns the answer to `locate` for a caller, as JSON; UnknownService or NotReady.
    std::function<Result<std::string>(const ServiceName &, const AccountName &)> locate;
    // Returns the callers' address of the member with that incarnation.
    std::function<std::optional<Endpoint>(Incarnation)> memberAddress;
    // Called once per answered request, with the time from its arrival to the answer's last byte and how long of that
    // the targets took.
    std::function<void(Duration total, Duration timeAtTarget)> noteLatency;

    std::atomic<bool> ready { false }; // false: requests are refused with NotReady
    std::atomic<bool> closing { false }; // true: answers close their connection
    std::atomic<std::uint64_t> requestNumber { 0 };
    CallerCounters counters;
    AccountConnections accountConnections;
};

} // namespace mulberryplank
