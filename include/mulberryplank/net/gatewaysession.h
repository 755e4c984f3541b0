#pragma once

#include <functional>
#include <optional>
#include <string>

#include "mulberryplank/net/forwarder.h"

namespace mulberryplank
{

// State shared by all sessions of a gateway. Must be used only from the thread that runs the worker.
struct GatewayContext {
    ForwardContext forward;
    WeightedSplit split;
    // Returns the routes in force, or nullptr when there are none yet.
    std::function<RouteTablePtr()> routes;
    // Waits for routes if this process has just started and may receive them shortly.
    std::function<DataAwaitable<void>()> awaitRoutes;
    // Updates the list of targets when it hasn't been needed for a while. Returns false when no list is available.
    std::function<DataAwaitable<bool>()> ensureTargets;
    // Gets what other gateways know of the service's targets if this process has no knowledge of its own.
    std::function<DataAwaitable<void>(const ServiceName &)> ensureKnowledge {};
    // Admits a request of the account and of that priority, or returns the time after which it may be sent again. The
    // account must outlive the wait.
    std::function<DataAwaitable<std::optional<Duration>>(const ClientAccount &, std::uint32_t)> admit {};
    // Called when an admitted request has not run.
    std::function<void(const ClientAccount &)> giveBack {};
    bool draining = false; // responses close their connections
    bool closing = false; // new requests are rejected
    std::uint64_t inFlight = 0; // requests in progress
    std::uint64_t connections = 0; // of callers
    std::uint64_t connectionsRefused = 0; // beyond maxConnections
    std::uint64_t acceptErrors = 0;
    std::size_t maxConnections = 2'000; // of callers; further ones are rejected with Retry-After
};

// One connection from a caller. Reads its requests one at a time and forwards each.
class GatewaySession
{
public:
    GatewaySession(DataSocket socket, GatewayContext &context);
    ~GatewaySession();
    GatewaySession(const GatewaySession &) = delete;
    GatewaySession &operator=(const GatewaySession &) = delete;

    // Runs until the connection ends.
    DataAwaitable<void> run();

private:
    struct Request;

    DataAwaitable<bool> serveOne();
    DataAwaitable<Result<void>> readBody(Request &request);
    RequestFingerprint fingerprint(const Request &request) const;
    Result<void> identify(Request &request);
    Result<ForwardRequest> prepare(Request &request);
    DataAwaitable<bool> forward(Request &request);
    DataAwaitable<bool> forwardResponse(Request &request, ForwardedResponse response);
    DataAwaitable<bool> forwardRemainingBody(Request &request, ForwardedResponse &response);
    DataAwaitable<bool> refuse(const Request &request,
                               const Error &error,
                               Outcome outcome,
                               std::optional<Duration> retryAfter = {});
    static Duration retryAfter(const Request &request);
    void recordResult(const Request &request, Outcome outcome, std::optional<ErrorKind> error);
    void logResult(const Request &request, const ForwardResult &end);

    GatewayContext &m_context;
    HttpStream m_stream;
    bool m_responded = false; // the last action was a response
};

} // namespace mulberryplank
