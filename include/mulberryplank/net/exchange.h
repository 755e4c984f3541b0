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

// One request as the session has read it.
struct ExchangeRequest {
    RequestParser *parser = nullptr;
    HttpStream *caller = nullptr;
    std::string path; // towards the target
    AccountName account;
    ServiceAccess access;
    std::uint16_t routeIndex = NoRoute;
    Route route;
    std::string id;
    Deadline deadline { Instant {}, Duration {} };
    bool deadlineFromCaller = false;
    std::string body; // read so far
    bool bodyComplete = false;
    bool expectsContinue = false;
    bool keepAlive = true;
    std::size_t maxStoredResponseBytes = 0; // 0: the answer is not kept
    bool outlivesCaller = false; // the answer is wanted also when the caller has gone
    Instant arrived {};
};

// How an exchange ended.
struct ExchangeResult {
    StepKind kind = StepKind::AbortCaller; // Finish, Respond or AbortCaller
    Step step; // for Respond
    std::optional<StoredResponse> stored; // the whole answer, if asked for and small enough
    Outcome outcome = Outcome::Unknown;
    bool callerDisconnected = false;
};

// Carries out what a RequestPlan decides: one request from its admission to the end of its answer. Runs on one worker;
// attempts that lose or are cancelled may end a little later than run().
class Exchange : public boost::intrusive_ref_counter<Exchange>
{
public:
    Exchange(Worker &worker, CallerContext &context, ExchangeRequest request);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    // Runs the request. When the result is Respond, nothing has been written to the caller yet. To be called once.
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

    // exchangewatch.cpp: whether the caller is still there
    void startWatch();
    void handleCallerDisconnect();
    void stopWatch();
    void watchCaller();

    // exchangeattempt.cpp
    DataAwaitable<void> runAttempt(AttemptPtr attempt, Step step);
    DataAwaitable<std::optional<Admitted>> admit(AttemptPtr attempt, const Step &step);
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
    AttemptPtr m_bodySource; // whose body is passed on
    std::optional<Step> m_end;
    bool m_headRequest = false;
    bool m_responseStarted = false; // the answer's header is written or about to be
    CallerFraming m_framing = CallerFraming::None;
    std::string m_unwritten; // the answer's header until the first piece of body is there
    std::vector<char> m_buffer;
    std::optional<StoredResponse> m_stored;
    bool m_callerDisconnected = false;
    bool m_inAttempt = false; // run() is within an attempt and can't begin another
    AttemptPtr m_bodyReader; // the attempt for which the caller's body is being read
    bool m_watching = false; // a wait for the caller's socket is under way
    std::uint64_t m_watchGeneration = 0;
    Duration m_timeAtTarget {};
};

} // namespace mulberryplank
