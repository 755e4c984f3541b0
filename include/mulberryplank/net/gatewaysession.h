#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mulberryplank/net/callerwatch.h"
#include "mulberryplank/net/forwarder.h"
#include "mulberryplank/policy/pipeline.h"

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
    std::uint64_t inFlight = 0; // requests in progress
    std::uint64_t connections = 0; // of callers
    std::uint64_t connectionsRefused = 0; // beyond maxConnections
    std::uint64_t acceptErrors = 0;
    std::uint64_t pipelined = 0; // requests read while earlier ones of their connection were in progress
    std::uint64_t readingStops = 0; // of connections with too many requests in progress or too many responses waiting
    std::size_t maxConnections = 2'000; // of callers; further ones are rejected with Retry-After
};

// One connection from a caller. Forwards its requests and returns the responses in the order of the requests. Requests
// that a caller sends behind one that is in progress (pipelining) are read as PipelineOrder allows. A connection whose
// requests come one by one is served by run() alone.
class GatewaySession : public boost::intrusive_ref_counter<GatewaySession, boost::thread_unsafe_counter>
{
public:
    GatewaySession(DataSocket socket, GatewayContext &context);
    ~GatewaySession();
    GatewaySession(const GatewaySession &) = delete;
    GatewaySession &operator=(const GatewaySession &) = delete;

    // Runs until the connection ends. Must be called once; the caller holds a reference until it ends.
    DataAwaitable<void> run();

private:
    struct Request;
    using RequestPtr = std::unique_ptr<Request>;

    // A request whose response waits for those before it.
    struct Turn {
        PipelineOrder::Id place = 0;
        Signal *signal = nullptr;
    };

    // gatewaysession.cpp: reads one request and forwards it
    DataAwaitable<bool> serveOne();
    DataAwaitable<bool> serve(Request &request);
    RequestLimits limits() const;
    void readFields(Request &request);
    std::string bufferUser(const Request &request);
    Result<void> reserveBody(Request &request);
    Result<void> reserveBody(Request &request, std::uint64_t size);
    DataAwaitable<Result<void>> readBody(Request &request);
    RequestFingerprint fingerprint(const Request &request) const;
    Result<void> identify(Request &request);
    Result<ForwardRequest> prepare(Request &request);
    DataAwaitable<bool> forward(Request &request);
    void giveBack(const Request &request);
    DataAwaitable<bool> forwardPrepared(Request &request, ForwardRequest prepared);

    // gatewaypipeline.cpp: requests behind others
    static PipelineMode modeOf(RouteKind kind);
    void enter(Request &request, PipelineMode mode);
    void leave(const Request &request, bool keepOpen);
    void closeBehind(const Request &request);
    void wakeTurns();
    DataAwaitable<bool> awaitTurn(const Request &request, std::size_t bytes);
    DataAwaitable<void> awaitOthers();
    bool readAhead();
    void noteReadingStop();
    void startBehind(RequestPtr request);
    static DataAwaitable<void> serveBehind(boost::intrusive_ptr<GatewaySession> self, RequestPtr request);
    DataAwaitable<bool> serveHeld();
    Instant takeArrival();

    // gatewayresponse.cpp: responses
    DataAwaitable<bool> deliver(Request &request, ForwardedResponse response, std::optional<ErrorKind> error);
    DataAwaitable<bool> forwardResponse(Request &request, ForwardedResponse response);
    DataAwaitable<bool> forwardRemainingBody(Request &request, ForwardedResponse &response);
    DataAwaitable<bool> refuse(const Request &request,
                               const Error &error,
                               Outcome outcome,
                               std::optional<Duration> retryAfter = {});
    static Duration retryAfter(const Request &request);
    bool drainEndsWith(const Request &request) const;
    void recordResult(const Request &request, Outcome outcome, std::optional<ErrorKind> error);
    void logResult(const Request &request, const ForwardResult &end);

    GatewayContext &m_context;
    HttpStream m_stream;
    CallerWatch m_watch;
    PipelineOrder m_order;
    bool m_responded = false; // the last action was a response
    bool m_isLastRead = false; // the last request that was read asks to close the connection
    bool m_readingStopped = false; // a bound of m_order is reached
    std::optional<Instant> m_inputSince; // when input was found that could not be read yet
    RequestPtr m_held; // read, and waits until those before it have their responses; run() serves it
    std::size_t m_behind = 0; // running serveBehind()
    std::optional<Signal> m_behindEnded;
    std::vector<Turn> m_turns;
};

} // namespace mulberryplank
