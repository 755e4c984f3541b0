#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mulberryplank/net/callercontext.h"
#include "mulberryplank/net/httpmessage.h"
#include "mulberryplank/net/signal.h"
#include "mulberryplank/net/worker.h"
#include "mulberryplank/policy/requestplan.h"

namespace mulberryplank
{

// One request as read by the session.
struct ExchangeRequest {
    RequestParser *parser = nullptr;
    HttpStream *caller = nullptr;
    std::string path; // as sent to the target
    AccountName account;
    ServiceAccess access;
    std::uint16_t routeIndex = NoRoute;
    Route route;
    std::string id;
    Deadline deadline { Instant {}, Duration {} };
    bool deadlineFromCaller = false;
    std::string body; // the part read so far
    BufferLease bodyLease; // of `body`
    bool bodyComplete = false;
    bool expectsContinue = false;
    bool keepAlive = true;
    std::size_t maxStoredResponseBytes = 0; // 0: the response is not stored
    bool outlivesCaller = false; // the response is needed even if the caller disconnects
    Instant arrived {};
};

// The result of an exchange.
struct ExchangeResult {
    StepKind kind = StepKind::AbortCaller; // Finish, Respond or AbortCaller
    Step step; // set for Respond
    std::optional<StoredResponse> stored; // the complete response, if requested and small enough
    Outcome outcome = Outcome::Unknown;
    bool callerDisconnected = false;
    bool responseBegun = false; // a part of a target's response may have been written to the caller
};

// Executes the decisions of a RequestPlan for one request, from its admission to the end of its response. Runs on one
// worker. Attempts that lose or are cancelled may end slightly later than run().
class Exchange : public boost::intrusive_ref_counter<Exchange>
{
public:
    Exchange(Worker &worker, CallerContext &context, ExchangeRequest request);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    // Runs the request. When the result is Respond, nothing has been written to the caller yet. Must be called once.
    DataAwaitable<ExchangeResult> run();

private:
    struct AttemptState;
    using AttemptPtr = boost::intrusive_ptr<AttemptState>;

    // exchange.cpp
    void apply(const Steps &steps);
    void applyStep(const Step &step);
    void startAttempt(const Step &step);
    void spawnAttempt(const Step &step);
    void armTimer();
    void cancelAttempt(const Step &step);
    void releaseGrant(AttemptState &attempt, AttemptResult result);
    void finishBodySource(bool reusable);
    AttemptState *find(AttemptNumber number);
    Duration timeAtTarget() const;

    // exchangewatch.cpp: detects that the caller has disconnected
    void startWatch();
    void handleCallerDisconnect();
    void stopWatch();
    void watchCaller();

    // exchangeattempt.cpp
    DataAwaitable<void> runAttempt(AttemptPtr attempt, Step step);
    DataAwaitable<std::optional<AdmissionResult>> admit(AttemptPtr attempt, const Step &step);
    DataAwaitable<bool> connect(AttemptPtr attempt, bool fresh);
    DataAwaitable<boost::system::error_code> send(AttemptPtr attempt, const Step &step);
    DataAwaitable<boost::system::error_code> sendRestOfBody(AttemptPtr attempt);
    DataAwaitable<boost::system::error_code> readResponseHeader(AttemptPtr attempt);
    DataAwaitable<boost::system::error_code> forwardRequestBody(AttemptPtr attempt);
    void watchForEarlyResponse(AttemptPtr attempt);
    void armResponseTimer(AttemptState &attempt);
    void onResponseTimeout(AttemptState &attempt);
    void onAttemptFailed(AttemptState &attempt, AttemptResult result);

    // exchangebody.cpp
    DataAwaitable<void> forwardBody();
    DataAwaitable<void> forwardPiece(AttemptPtr source, BodyPiece piece);
    DataAwaitable<bool> writeToCaller(std::string_view piece, bool last);
    void beginResponse(const AttemptState &source);
    void store(std::string_view piece);

    Worker &m_worker;
    CallerContext &m_context;
    ExchangeRequest m_request;
    RequestPlan m_plan;
    WheelTimer m_timer;
    WheelTimer m_watchTimer;
    Signal m_signal;
    std::vector<AttemptPtr> m_attempts;
    std::optional<Step> m_pendingStart;
    AttemptPtr m_bodySource; // the attempt whose body is forwarded
    std::optional<Step> m_end;
    bool m_headRequest = false;
    bool m_responseStarted = false; // the response header has been written or is about to be
    CallerFraming m_framing = CallerFraming::None;
    std::string m_unwritten; // the response header until the first piece of the body is available
    std::vector<char> m_buffer;
    std::optional<StoredResponse> m_stored;
    bool m_callerDisconnected = false;
    bool m_inAttempt = false; // run() is executing an attempt and can't start another
    AttemptPtr m_bodyReader; // the attempt for which the caller's body is being read
    bool m_watching = false; // a wait on the caller's socket is in progress
    std::uint64_t m_watchGeneration = 0;
    Duration m_timeAtTarget {};
};

} // namespace mulberryplank
