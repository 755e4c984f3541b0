#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/container/static_vector.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/bodyprogress.h"
#include "mulberryplank/policy/deadline.h"
#include "mulberryplank/policy/retrybudget.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// Numbers the attempts of one request from 0 on.
using AttemptNumber = std::uint32_t;

// What the network layer has to do next for a request.
enum class StepKind : std::uint8_t {
    Start, // pick a target outside excluded() and send the request to it
    Cancel, // end the attempt and close its connection at once; after a shed whose answer was read it may be kept
    ForwardHeader, // pass the attempt's answer header on to the caller, then its body
    ContinueBody, // pass the attempt's body on as the rest of the answer; its header is not passed on
    Finish, // the whole answer was passed on; `reusable`: as far as the answer goes the connection may be kept
    AbortCaller, // close the caller's connection in the middle of the answer, never ending it as if complete
    Respond, // answer the caller with `error`; no byte of an answer was passed on before
};

struct Step {
    StepKind kind = StepKind::Start;
    AttemptNumber attempt = 0;
    std::optional<TargetIndex> sameTarget; // Start: use this target, over a new connection
    std::optional<ResumeRequest> resume; // Start: ask for the rest of a body
    bool hedge = false; // Start: runs beside another attempt
    AttemptResult result = AttemptResult::Cancelled; // Cancel: evidence about the target
    bool reusable = false; // Finish
    ErrorKind error = ErrorKind::Internal; // Respond, AbortCaller
    Outcome outcome = Outcome::Unknown; // Respond, AbortCaller: at least as strong as the table's claim for `error`
    bool repeatIsSafe = false; // Respond, AbortCaller
    int retryAfterSeconds = 0; // Respond: 0: no Retry-After
};

// Steps are to be carried out in order. At most two attempts run at a time, which bounds their number.
inline constexpr std::size_t MaxSteps = 4;
using Steps = boost::container::static_vector<Step, MaxSteps>;

// The header of a target's answer, as far as decisions need it.
struct ResponseSummary {
    BodyHeader body;
    std::optional<std::string> requestId; // X-Request-Id of the answer
    bool echoesRequestId = false; // the target is known to echo X-Request-Id, so that its absence is a mismatch
    bool notRun = false; // X-Not-Run: 1
    int retryAfterSeconds = 0; // Retry-After; 0: none
};

struct RequestPlanSettings {
    std::string requestId; // chosen by the proxy, never taken from the caller
    bool idempotent = false; // of the route
    bool resumable = false; // the method is GET
    Deadline deadline; // of the whole request
    bool deadlineFromCaller = false; // shorter than the route's timeout, so that missing it says nothing of the target
    Duration progressTimeout {}; // the most that the target may pause within a body
    std::optional<Duration> hedgeDelay {}; // HedgeDelay::delay() of the route; nothing: no hedging
    std::uint32_t maxAttempts = 3; // resumes not counted
    std::uint32_t maxResumes = 5;
    BackoffSettings backoff {};
    std::uint32_t seed = 1; // for the backoff's jitter
};

// Decides what happens to one request from its arrival to the end of its answer. Guarantees, whatever order events
// come in:
// - a request that isn't idempotent is never started again once a byte of it was sent, unless the target itself said
//   that it did not run it;
// - outcome NotRun is said only when no target can have run the request;
// - the bytes passed on belong to this request, the first answer header wins, and Finish means that all of them came;
// - after ForwardHeader the caller's side sees nothing but ContinueBody, Finish or AbortCaller.
// Events of attempts that were cancelled or have ended, late or twice, change nothing. Not thread-safe.
class RequestPlan
{
public:
    // `spendRetry` takes a token for one extra attempt and says whether there was one: RetryBudget::trySpend().
    RequestPlan(RequestPlanSettings settings, std::function<bool()> spendRetry);
    RequestPlan(const RequestPlan &) = delete;
    RequestPlan &operator=(const RequestPlan &) = delete;

    // Begins the request. To be called once, before any other event.
    Steps start();

    // A target was picked for a Start, and a connection to it is at hand or about to be opened. The attempt's time
    // counts from here.
    void onTargetSelected(AttemptNumber attempt, TargetIndex target, bool reusedConnection, Instant now);

    // No target could be had for a Start; `error` is the refusal, its table row must say NotRun.
    Steps onNoTarget(AttemptNumber attempt, ErrorKind error, int retryAfterSeconds);

    // To be called before the first byte of the request is handed to the attempt's socket. False: the attempt was
    // cancelled in the meantime and no byte may be sent.
    [[nodiscard]] bool onSending(AttemptNumber attempt);

    // Bytes of the request's body were let go after sending, so the request can't be sent again.
    void onRequestBodyDiscarded();

    // The attempt's connection failed: ConnectFailed, Reset, Timeout (of connecting) or Mismatched (bytes that are no
    // answer to it).
    Steps onFailed(AttemptNumber attempt, AttemptResult result, Instant now);

    // The final header (not 1xx) of the attempt's answer has come.
    Steps onHeader(AttemptNumber attempt, const ResponseSummary &header, Instant now);

    // `bytes` of body were read. Returns how many of them to pass on to the caller; then call onForwarded().
    std::uint64_t onBody(AttemptNumber attempt, std::uint64_t bytes);

    // What was to be passed on, header or body, has reached the caller's socket and the target is read again. The
    // progress timeout counts from here, so that a slow caller isn't taken for a stalled target.
    Steps onForwarded(AttemptNumber attempt, Instant now);

    // The attempt's body has ended as its framing tells; all of it was passed on.
    Steps onBodyEnd(AttemptNumber attempt, Instant now);

    // The target announced that it is leaving. An attempt of which no byte was sent moves to another target.
    Steps onTargetDraining(AttemptNumber attempt, Instant now);

    // The caller closed its connection: running attempts are cancelled.
    Steps onCallerDisconnected();

    // Returns when onTimer() is to be called next; nothing once the request is done. May move after every event.
    std::optional<Instant> wakeAt() const;

    // Handles whatever is due at `now`; does nothing when called early.
    Steps onTimer(Instant now);

    // Returns the targets that a Start must avoid.
    const std::vector<TargetIndex> &excluded() const;

    // Returns the X-Request-Id of an attempt towards its target. Each attempt has its own, so that a late answer to
    // one is never taken for another's.
    std::string attemptRequestId(AttemptNumber attempt) const;

    // Returns true once Finish, AbortCaller or Respond was given or the caller has gone.
    bool done() const;

    // Returns what can be said of the request now.
    Outcome outcome() const;

    // Returns the attempts started so far, resumes included.
    AttemptNumber attempts() const;

private:
    struct RunningAttempt {
        AttemptNumber number = 0;
        std::optional<TargetIndex> target;
        bool reusedConnection = false;
        bool bytesSent = false;
        std::optional<Instant> hedgeAt;
        Instant timeoutAt;
    };
    enum class Phase : std::uint8_t {
        Waiting, // for an answer's header
        Forwarding, // an answer on to the caller
        Done,
    };

    RunningAttempt *find(AttemptNumber attempt);
    bool mayStartAgain(Instant now) const;
    bool hedgePossible() const;
    bool isMismatch(AttemptNumber attempt, const ResponseSummary &header) const;
    AttemptResult timeoutResult() const;

    void startAttempt(std::optional<TargetIndex> sameTarget, bool hedge, Steps &steps);
    void startResume(Steps &steps);
    bool scheduleStart(Instant now);
    void remove(AttemptNumber attempt, bool notRun);
    void cancel(AttemptNumber attempt, AttemptResult result, Steps &steps);
    void cancelAll(AttemptResult result, Steps &steps);
    void recordFailure(const RunningAttempt &attempt, AttemptResult result);

    void evaluateHeader(RunningAttempt &attempt, const ResponseSummary &header, Instant now, Steps &steps);
    void evaluateResumeHeader(RunningAttempt &attempt, const ResponseSummary &header, Instant now, Steps &steps);
    void accept(RunningAttempt &attempt, const ResponseSummary &header, Steps &steps);
    void fail(RunningAttempt &attempt, AttemptResult result, Instant now, Steps &steps);
    void afterFailure(Instant now, Steps &steps);
    void resumeOrAbort(Instant now, Steps &steps);
    void finish(Steps &steps);
    void respondWithError(Steps &steps);
    void abortCaller(Steps &steps);

    void onDeadline(Steps &steps);
    bool onAttemptTimeout(Instant now, Steps &steps);

    RequestPlanSettings m_settings;
    std::function<bool()> m_spendRetry;
    std::minstd_rand m_random;
    Phase m_phase = Phase::Waiting;
    AttemptNumber m_forwardedAttempt = 0; // the attempt whose body is passed on
    bool m_finished = false; // Finish was given
    boost::container::static_vector<RunningAttempt, 2> m_running;
    std::vector<TargetIndex> m_excluded;
    AttemptNumber m_started = 0;
    std::uint32_t m_attemptsWithoutResumes = 0; // attempts but for resumes
    std::uint32_t m_resumes = 0;
    unsigned m_retries = 0;
    std::optional<Instant> m_retryAt; // a retry or resume waits until then
    std::optional<Instant> m_stallTimeoutAt; // the target must have sent something by then
    bool m_mayHaveRun = false; // an attempt ended of which that can't be ruled out
    bool m_requestBodyDiscarded = false;
    bool m_hedgeRefused = false;
    bool m_reconnected = false; // the one fresh connection in place of a stale one was used up
    bool m_receivedExcessBytes = false; // the target sent more than its body
    std::optional<BodyProgress> m_progress;
    ErrorKind m_notRunError = ErrorKind::NoTarget; // the last failure that left the request not run
    ErrorKind m_unknownOutcomeError = ErrorKind::TargetTimeout; // the last failure after which it may have run
    int m_retryAfterSeconds = 0;
};

} // namespace mulberryplank
