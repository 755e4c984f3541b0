#pragma once

#include <functional>
#include <string>

#include "mulberryplank/net/forwarder.h"

namespace mulberryplank
{

// What all sessions of a gateway share. Belongs to the thread that runs the worker.
struct GatewayContext {
    ForwardContext forward;
    WeightedSplit split;
    // Returns the routes in force, or nullptr before there are any.
    std::function<RouteTablePtr()> routes;
    // Waits for routes while this process has just started and may have them in a moment.
    std::function<DataAwaitable<void>()> awaitRoutes;
    // Brings the list of targets up to date, where nobody has needed it for a while. False: it can't be had.
    std::function<DataAwaitable<bool>()> ensureTargets;
    bool draining = false; // answers end their connections
    bool closing = false; // new requests are refused
    std::uint64_t inFlight = 0; // requests under way
    std::uint64_t connections = 0; // of callers
    std::uint64_t connectionsRefused = 0; // beyond the bound
    std::uint64_t acceptErrors = 0;
    std::size_t maxConnections = 2'000; // of callers; beyond it they are told to come back
};

// One connection from a caller: reads its requests one after the other and has each forwarded.
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
    Result<ForwardRequest> prepare(Request &request);
    DataAwaitable<bool> forward(Request &request);
    DataAwaitable<bool> forwardResponse(Request &request, ForwardedResponse response);
    DataAwaitable<bool> forwardRemainingBody(Request &request, ForwardedResponse &response);
    DataAwaitable<bool> refuse(const Request &request, const Error &error, Outcome outcome);
    std::string retryAfter(const Request &request) const;
    void recordResult(const Request &request, Outcome outcome, std::optional<ErrorKind> error);
    void logResult(const Request &request, const ForwardResult &end);

    GatewayContext &m_context;
    HttpStream m_stream;
    bool m_responded = false; // the last thing that happened was an response
};

} // namespace mulberryplank
