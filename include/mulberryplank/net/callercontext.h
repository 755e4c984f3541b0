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
#include "mulberryplank/state/atmostoncestate.h"
#include "mulberryplank/state/bufferbudget.h"
#include "mulberryplank/state/configstate.h"
#include "mulberryplank/state/servicestate.h"

namespace mulberryplank
{

// Limits on what a caller controls. Without them one caller could use up a process's memory or connections.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1ULL << 30;
    // Bodies up to this size are read whole before the request is admitted.
    std::size_t maxBufferedBodyBytes = 16 * 1024;
    // Maximum body of a request with an Idempotency-Key, which is always read whole.
    std::size_t maxKeyedBodyBytes = 1024 * 1024;
    Duration headerTimeout = Seconds(10); // from a header's first byte to its last
    Duration idleTimeout = Seconds(60); // between two requests
    Duration bodyIdleTimeout = Seconds(30); // between two pieces of a request's body
    Duration writeTimeout = Seconds(30); // for writing a piece of a response to a caller
    // Time for a caller to stop sending after a response that closes its connection.
    Duration lingerTimeout = Seconds(2);
    Duration connectTimeout = Seconds(1); // for a target to accept a connection
    // After this time without a byte of the response a reused connection is treated as dead.
    Duration reusedConnectionTimeout = Seconds(1);
    std::size_t connections = 20'000; // of all accounts together
    std::size_t connectionsPerAccount = 4'000;
};

// The state and the configuration of a request's service.
struct ServiceAccess {
    ServiceStatePtr state;
    ServiceViewPtr config;
};

// Counters for the metrics. Written by all workers.
struct CallerCounters {
    std::atomic<std::uint64_t> connections { 0 }; // currently open
    std::atomic<std::uint64_t> requests { 0 }; // currently in progress
    std::atomic<std::uint64_t> answered { 0 };
    std::atomic<std::uint64_t> refused { 0 }; // responded to with an error of this process
    std::atomic<std::uint64_t> aborted { 0 }; // responses cut off
    std::atomic<std::uint64_t> retries { 0 };
    std::atomic<std::uint64_t> hedges { 0 };
    std::atomic<std::uint64_t> resumes { 0 };
    // Reused connections abandoned without a byte of the response.
    std::atomic<std::uint64_t> unresponsiveConnections { 0 };
    std::atomic<std::uint64_t> bytesToCallers { 0 };
};

// State shared by all caller sessions of a process. The functions may be called from any worker.
struct CallerContext {
    Incarnation incarnation = 0;
    CallerLimits limits;
    EventSink events;
    AtMostOnceState *atMostOnceState = nullptr;

    // Returns the digest of the account's secret, or nothing when there is no such account.
    std::function<std::optional<SecretDigest>(const AccountName &)> accountDigest;
    // Returns the service if this process is assigned it or can serve it.
    std::function<std::optional<ServiceAccess>(const ServiceName &)> findService;
    // Returns the response to `locate` for a caller, as JSON. Errors: UnknownService, NotReady.
    std::function<Result<std::string>(const ServiceName &, const AccountName &)> locate;
    // Returns the address at which the member with that incarnation serves callers.
    std::function<std::optional<Endpoint>(Incarnation)> memberAddress;
    // Called once per request that got a response, with the time from its arrival to the response's last byte and the
    // part of it that targets took.
    std::function<void(Duration total, Duration timeAtTarget)> recordLatency;

    BufferBudget buffers; // of the bodies that are read whole

    std::atomic<bool> ready { false }; // false: requests are rejected with NotReady
    std::atomic<bool> closing { false }; // true: responses close their connection
    std::atomic<std::uint64_t> requestNumber { 0 };
    CallerCounters counters;
    AccountConnections accountConnections;
};

} // namespace mulberryplank
