#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mulberryplank/net/callerwatch.h"
#include "mulberryplank/net/forwardcontext.h"
#include "mulberryplank/net/signal.h"
#include "mulberryplank/policy/forwardplan.h"
#include "mulberryplank/policy/requestfingerprint.h"

namespace mulberryplank
{

// One request, read completely.
struct ForwardRequest {
    RequestParser *parser = nullptr; // must outlive the forwarder's run()
    CallerWatch *caller = nullptr; // likewise
    std::string body;
    BufferLease bodyLease; // of `body`
    RouteTablePtr table;
    const HostRoute *route = nullptr; // in `table`
    ServiceName service;
    CallerFields fields;
    bool isIdentified = false; // the configuration has accounts
    AccountName account; // the caller's; empty if it has none
    std::uint32_t priority = 0; // the account's own or the route's; 0 is the most urgent
    RequestFingerprint fingerprint {};
    Instant arrived {};
    Instant deadline {}; // the earlier of the caller's and the route's deadline
};

// A target's response. If the response is too large to be buffered, `bodyConnection` is set and the data after `body`
// must be read from it.
struct ForwardedResponse {
    std::unique_ptr<ResponseParser> header;
    std::string body;
    BufferLease bodyLease; // of `body`
    TargetConnectionPtr bodyConnection;
    TargetName target;
};

// The result of a request: a response, an error of this process, or neither if the caller disconnected. A response
// together with an error is the target's own error, which is forwarded when no better response is available.
struct ForwardResult {
    std::optional<ForwardedResponse> response;
    std::optional<ErrorKind> error;
    Outcome outcome = Outcome::Unknown;
    std::uint32_t attempts = 0;
    TargetName lastTarget;
    // How long all targets of the service still rest. Empty if one doesn't, or if there is a response.
    std::optional<Duration> restLeft;
};

// Sends one request to targets until one of them has responded, as ForwardPlan and TargetBalancer decide. Runs on the
// context's worker. Attempts that lose end slightly later than run().
class Forwarder : public boost::intrusive_ref_counter<Forwarder, boost::thread_unsafe_counter>
{
public:
    Forwarder(ForwardContext &context, ForwardRequest request);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    // Runs the request. Must be called once.
    DataAwaitable<ForwardResult> run();

private:
    // The reason for an attempt.
    enum class AttemptCause : std::uint8_t {
        First,
        Retry, // no other attempt is running
        Hedge, // runs beside a slow attempt
    };

    struct AttemptState;
    using AttemptPtr = boost::intrusive_ptr<AttemptState>;

    // forwarder.cpp: starts and evaluates attempts
    bool startAttempt(AttemptCause cause);
    bool budgetAllows(AttemptCause cause, double reserve, Instant now);
    bool retry(Instant now);
    void handleEndedAttempts();
    void handleResult(AttemptState &attempt);
    static ForwardedResponse takeResponse(AttemptState &attempt);
    void cancelRunning();
    void recordOutcome(AttemptState &attempt, AttemptResult result);
    void share(const AttemptState &attempt, AttemptResult result, double logRatio);
    void shareMissingResponses(Instant now);
    void noteCrossing(const AttemptState &attempt);
    void noteRateLimit(const AttemptState &attempt);
    void noteTargetNotice(const AttemptState &attempt);
    void recordCrashEvidence(const AttemptState &attempt, AttemptResult result);
    bool hedgeIsDue(Instant now) const;
    void planHedge(Instant now);
    bool anyRunning() const;
    bool hasAttemptAt(const Endpoint &endpoint) const;
    bool isTooLate() const;
    void arm();
    void logAttempt(const AttemptState &attempt, AttemptResult result) const;
    void noteStrayResponse(const AttemptState &attempt, const ResponseFields &fields);

    // forwardattempt.cpp: runs one attempt
    DataAwaitable<void> runAttempt(AttemptPtr attempt);
    DataAwaitable<AttemptResult> attemptOnce(AttemptPtr attempt);
    DataAwaitable<bool> connect(AttemptPtr attempt);
    DataAwaitable<bool> connectDirectly(AttemptPtr attempt);
    void notePath(const AttemptState &attempt, AttemptResult result);
    void startWriting(const AttemptPtr &attempt);
    DataAwaitable<void> write(AttemptPtr attempt, std::string header);
    std::string requestHeader(const AttemptState &attempt) const;
    DataAwaitable<AttemptResult> readResponse(AttemptPtr attempt);
    DataAwaitable<boost::system::error_code> readHeader(AttemptPtr attempt);
    DataAwaitable<std::optional<AttemptResult>> readBody(AttemptPtr attempt);
    std::size_t nextBodyPiece(AttemptState &attempt);
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
    bool m_recordedDemand = false; // for an extra attempt that hasn't started
    bool m_awaitsLoan = false; // the last attempt didn't start for lack of budget, and a loan may arrive
    std::optional<Instant> m_loanExpectedUntil; // while no attempt is running
    Duration m_minHedgeTime {}; // the minimum time left for a hedge to be worth its budget
    std::optional<ForwardedResponse> m_response;
    std::optional<ForwardedResponse> m_errorResponse; // a target's own error, used if no better response arrives
    bool m_headRequest = false;
    bool m_callerDisconnected = false;
    bool m_processEnds = false;
};

} // namespace mulberryplank
