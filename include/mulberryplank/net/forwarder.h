#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mulberryplank/net/forwardcontext.h"
#include "mulberryplank/net/signal.h"
#include "mulberryplank/policy/forwardplan.h"

namespace mulberryplank
{

// One request as it was read, whole.
struct ForwardRequest {
    RequestParser *parser = nullptr; // must outlive the forwarder's run()
    HttpStream *caller = nullptr; // likewise
    std::string body;
    RouteTablePtr table;
    const HostRoute *route = nullptr; // in `table`
    ServiceName service;
    CallerFields fields;
    Instant arrived {};
    Instant deadline {}; // the earlier of the caller's and the route's
};

// A target's response. `bodyConnection` is set when the response is too large to be held: what follows `body` is still
// to be read from it.
struct ForwardedResponse {
    std::unique_ptr<ResponseParser> header;
    std::string body;
    TargetConnectionPtr bodyConnection;
    TargetName target;
};

// How a request ended: with an response, with an error of ours, or with neither because the caller has gone. An
// response together with an error is the target's own error, passed on for want of better.
struct ForwardResult {
    std::optional<ForwardedResponse> response;
    std::optional<ErrorKind> error;
    Outcome outcome = Outcome::Unknown;
    std::uint32_t attempts = 0;
    TargetName lastTarget;
};

// Sends one request to targets until one of them has answered it, by the decisions of ForwardPlan and TargetBalancer.
// Runs on the context's worker; attempts that lose end a little later than run().
class Forwarder : public boost::intrusive_ref_counter<Forwarder, boost::thread_unsafe_counter>
{
public:
    Forwarder(ForwardContext &context, ForwardRequest request);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    // Runs the request. To be called once.
    DataAwaitable<ForwardResult> run();

private:
    // Why an attempt is made.
    enum class AttemptCause : std::uint8_t {
        First,
        Retry, // none is under way any more
        Hedge, // beside one that is slow
    };

    struct AttemptState;
    using AttemptPtr = boost::intrusive_ptr<AttemptState>;

    // forwarder.cpp: which attempts there are
    bool startAttempt(AttemptCause cause);
    void handleEndedAttempts();
    void handleResult(AttemptState &attempt);
    static ForwardedResponse takeResponse(AttemptState &attempt);
    void cancelRunning();
    void recordOutcome(AttemptState &attempt, AttemptResult result);
    void share(const AttemptState &attempt, AttemptResult result, double logRatio);
    void shareMissingResponses(Instant now);
    bool hedgeIsDue(Instant now) const;
    void planHedge(Instant now);
    bool anyRunning() const;
    void arm();
    void logAttempt(const AttemptState &attempt, AttemptResult result) const;

    // forwardattempt.cpp: one attempt
    DataAwaitable<void> runAttempt(AttemptPtr attempt);
    DataAwaitable<AttemptResult> attemptOnce(AttemptPtr attempt);
    DataAwaitable<bool> connect(AttemptPtr attempt);
    void startWriting(const AttemptPtr &attempt, std::string bytes);
    DataAwaitable<void> write(AttemptPtr attempt, std::string bytes);
    std::string requestBytes(const AttemptState &attempt) const;
    DataAwaitable<AttemptResult> readResponse(AttemptPtr attempt);
    DataAwaitable<boost::system::error_code> readHeader(AttemptPtr attempt);
    DataAwaitable<AttemptResult> readBody(AttemptPtr attempt);
    AttemptResult classify(const AttemptState &attempt) const;

    ForwardContext &m_context;
    ForwardRequest m_request;
    ForwardService &m_service;
    ForwardPlan m_plan;
    Signal m_signal;
    WheelTimer m_timer;
    std::vector<AttemptPtr> m_attempts;
    std::vector<TargetName> m_tried;
    std::optional<Instant> m_hedgeAt;
    Duration m_minHedgeTime {}; // the least time for a hedge to be worth its budget
    std::optional<ForwardedResponse> m_response;
    std::optional<ForwardedResponse> m_errorResponse; // a target's own error, for want of better
    bool m_headRequest = false;
    bool m_callerDisconnected = false;
};

} // namespace mulberryplank
