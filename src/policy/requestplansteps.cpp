// Private functions of RequestPlan. Its public functions are in requestplan.cpp.
#include "mulberryplank/policy/requestplan.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

constexpr int FirstErrorStatus = 400;
constexpr int FirstServerErrorStatus = 500;
constexpr int StatusNotImplemented = 501; // caused by the request, not by the target
constexpr int MinRetryAfterSeconds = 1;

bool isShed(const ResponseSummary &header)
{
    return header.notRun && header.body.status >= FirstErrorStatus;
}

bool isServerError(const ResponseSummary &header)
{
    return header.body.status >= FirstServerErrorStatus && header.body.status != StatusNotImplemented;
}

} // namespace internal

RequestPlan::RunningAttempt *RequestPlan::find(AttemptNumber attempt)
{
    const auto found = std::find_if(m_running.begin(), m_running.end(), [attempt](const RunningAttempt &running) {
        return running.number == attempt;
    });
    return found == m_running.end() ? nullptr : &*found;
}

// Enforces at-most-once execution: a non-idempotent request is started again only while outcome() is NotRun.
bool RequestPlan::mayStartAgain(Instant now) const
{
    if (m_attemptsWithoutResumes >= m_settings.maxAttempts || m_requestBodyDiscarded
        || m_settings.deadline.passed(now)) {
        return false;
    }
    return m_settings.idempotent || outcome() == Outcome::NotRun;
}

bool RequestPlan::hedgePossible() const
{
    const bool singlePending = m_phase == Phase::Waiting && m_running.size() == 1 && !m_retryAt;
    return singlePending && m_settings.idempotent && !m_hedgeRefused && !m_requestBodyDiscarded
           && m_running.front().hedgeAt && m_attemptsWithoutResumes < m_settings.maxAttempts;
}

// A timeout at the caller's own deadline doesn't count against the target: a caller could otherwise make healthy
// targets appear faulty by sending deadlines that are too short.
AttemptResult RequestPlan::timeoutResult() const
{
    return m_settings.deadlineFromCaller ? AttemptResult::Cancelled : AttemptResult::Timeout;
}

void RequestPlan::startAttempt(std::optional<TargetIndex> sameTarget, bool hedge, Steps &steps)
{
    if (hedge && m_running.front().target) {
        m_excluded.push_back(*m_running.front().target);
    }
    RunningAttempt running;
    running.number = m_started++;
    running.timeoutAt = m_settings.deadline.at();
    ++m_attemptsWithoutResumes;
    m_running.push_back(running);
    Step step;
    step.kind = StepKind::Start;
    step.attempt = running.number;
    step.sameTarget = sameTarget;
    step.hedge = hedge;
    steps.push_back(step);
}

void RequestPlan::startResume(Steps &steps)
{
    RunningAttempt running;
    running.number = m_started++;
    running.timeoutAt = m_settings.deadline.at();
    m_running.push_back(running);
    Step step;
    step.kind = StepKind::Start;
    step.attempt = running.number;
    step.resume = m_progress->resumeRequest();
    steps.push_back(step);
}

// Schedules the next retry or resume if the deadline and the retry budget allow it, and takes a token from the budget.
bool RequestPlan::scheduleStart(Instant now)
{
    const Instant at = now + backoff(m_settings.backoff, m_retries + 1, m_random);
    if (at >= m_settings.deadline.at() || !m_spendRetry()) {
        return false;
    }
    ++m_retries;
    m_retryAt = at;
    return true;
}

void RequestPlan::remove(AttemptNumber attempt, bool notRun)
{
    const RunningAttempt *running = find(attempt);
    m_mayHaveRun = m_mayHaveRun || (running->bytesSent && !notRun);
    m_running.erase(m_running.begin() + (running - m_running.data()));
}

void RequestPlan::cancel(AttemptNumber attempt, AttemptResult result, Steps &steps)
{
    remove(attempt, result == AttemptResult::Shed);
    Step step;
    step.kind = StepKind::Cancel;
    step.attempt = attempt;
    step.result = result;
    steps.push_back(step);
}

void RequestPlan::cancelAll(AttemptResult result, Steps &steps)
{
    while (!m_running.empty()) {
        cancel(m_running.back().number, result, steps);
    }
    m_retryAt.reset();
    m_stallTimeoutAt.reset();
}

void RequestPlan::recordFailure(const RunningAttempt &attempt, AttemptResult result)
{
    if (attempt.target) {
        m_excluded.push_back(*attempt.target);
    }
    if (result == AttemptResult::Shed) {
        m_notRunError = ErrorKind::TargetShed;
    } else if (attempt.bytesSent) {
        m_unknownOutcomeError = unknownOutcomeKind(result);
    } else {
        m_notRunError = ErrorKind::ConnectFailed;
    }
}

void RequestPlan::evaluateHeader(RunningAttempt &attempt, const ResponseSummary &header, Instant now, Steps &steps)
{
    if (internal::isShed(header)) {
        m_retryAfterSeconds = std::max(m_retryAfterSeconds, header.retryAfterSeconds);
        fail(attempt, AttemptResult::Shed, now, steps);
        return;
    }
    if (header.body.framing == BodyFraming::UntilClose) {
        // The end of such a body looks like a broken connection, so completeness can't be guaranteed.
        fail(attempt, AttemptResult::Truncated, now, steps);
        return;
    }
    const bool retryable = internal::isServerError(header) && m_settings.idempotent;
    const bool otherPending = m_running.size() > 1;
    if (retryable && (otherPending || (mayStartAgain(now) && scheduleStart(now)))) {
        recordFailure(attempt, AttemptResult::ServerError);
        cancel(attempt.number, AttemptResult::ServerError, steps);
        return;
    }
    accept(attempt, header, steps);
}

void RequestPlan::evaluateResumeHeader(RunningAttempt &attempt,
                                       const ResponseSummary &header,
                                       Instant now,
                                       Steps &steps)
{
    if (m_progress->isContinuedBy(header.body)) {
        m_forwardedAttempt = attempt.number;
        attempt.timeoutAt = m_settings.deadline.at();
        m_stallTimeoutAt = now + m_settings.progressTimeout;
        Step step;
        step.kind = StepKind::ContinueBody;
        step.attempt = attempt.number;
        steps.push_back(step);
    } else if (internal::isShed(header)) {
        fail(attempt, AttemptResult::Shed, now, steps);
    } else if (internal::isServerError(header)) {
        fail(attempt, AttemptResult::ServerError, now, steps);
    } else {
        // The target has another version of the resource, or none, which is no evidence against the target.
        fail(attempt, AttemptResult::Cancelled, now, steps);
    }
}

void RequestPlan::accept(RunningAttempt &attempt, const ResponseSummary &header, Steps &steps)
{
    m_phase = Phase::Forwarding;
    m_forwardedAttempt = attempt.number;
    m_retryAt.reset();
    m_progress.emplace(header.body);
    while (m_running.size() > 1) {
        const bool frontWins = m_running.front().number == m_forwardedAttempt;
        cancel(frontWins ? m_running.back().number : m_running.front().number, AttemptResult::Cancelled, steps);
    }
    m_running.front().timeoutAt = m_settings.deadline.at();
    Step step;
    step.kind = StepKind::ForwardHeader;
    step.attempt = m_forwardedAttempt;
    steps.push_back(step);
    if (m_progress->complete()) {
        finish(steps);
    }
}

void RequestPlan::fail(RunningAttempt &attempt, AttemptResult result, Instant now, Steps &steps)
{
    recordFailure(attempt, result);
    cancel(attempt.number, result, steps);
    afterFailure(now, steps);
}

void RequestPlan::afterFailure(Instant now, Steps &steps)
{
    if (m_phase == Phase::Forwarding) {
        resumeOrAbort(now, steps);
        return;
    }
    if (!m_running.empty() || m_retryAt) {
        return;
    }
    if (!mayStartAgain(now) || !scheduleStart(now)) {
        respondWithError(steps);
    }
}

void RequestPlan::resumeOrAbort(Instant now, Steps &steps)
{
    m_stallTimeoutAt.reset();
    const bool allowed = m_settings.idempotent && m_settings.resumable && m_resumes < m_settings.maxResumes;
    if (allowed && m_progress->resumeRequest() && scheduleStart(now)) {
        ++m_resumes;
    } else {
        abortCaller(steps);
    }
}

void RequestPlan::finish(Steps &steps)
{
    Step step;
    step.kind = StepKind::Finish;
    step.attempt = m_forwardedAttempt;
    step.reusable = !m_receivedExcessBytes;
    step.outcome = Outcome::Answered;
    steps.push_back(step);
    m_running.clear();
    m_stallTimeoutAt.reset();
    m_finished = true;
    m_phase = Phase::Done;
}

void RequestPlan::respondWithError(Steps &steps)
{
    Step step;
    step.kind = StepKind::Respond;
    step.outcome = outcome();
    const bool notRun = step.outcome == Outcome::NotRun;
    step.error = notRun ? m_notRunError : m_unknownOutcomeError;
    step.repeatIsSafe = notRun || m_settings.idempotent;
    if (step.repeatIsSafe) {
        const int minSeconds = std::max(errorInfo(step.error).retryAfterSeconds, internal::MinRetryAfterSeconds);
        step.retryAfterSeconds = std::max(minSeconds, m_retryAfterSeconds);
    }
    steps.push_back(step);
    m_phase = Phase::Done;
}

void RequestPlan::abortCaller(Steps &steps)
{
    Step step;
    step.kind = StepKind::AbortCaller;
    step.outcome = Outcome::Unknown;
    step.error = m_unknownOutcomeError;
    step.repeatIsSafe = m_settings.idempotent;
    steps.push_back(step);
    m_phase = Phase::Done;
}

void RequestPlan::onDeadline(Steps &steps)
{
    const bool callerIsSlow = m_phase == Phase::Forwarding && !m_stallTimeoutAt && !m_retryAt;
    end(ErrorKind::DeadlineBeforeStart, callerIsSlow ? AttemptResult::Cancelled : timeoutResult(), steps);
}

// Ends a request whose time is up. `notRunError` is its error if it can't have run, `result` that of running attempts.
void RequestPlan::end(ErrorKind notRunError, AttemptResult result, Steps &steps)
{
    m_notRunError = notRunError;
    m_unknownOutcomeError = ErrorKind::TargetTimeout;
    const bool forwarding = m_phase == Phase::Forwarding;
    cancelAll(result, steps);
    if (forwarding) {
        abortCaller(steps);
    } else {
        respondWithError(steps);
    }
}

// Returns true if an attempt has timed out.
bool RequestPlan::onAttemptTimeout(Instant now, Steps &steps)
{
    const auto expired = std::find_if(m_running.begin(), m_running.end(), [now](const RunningAttempt &running) {
        return now >= running.timeoutAt;
    });
    if (expired == m_running.end()) {
        return false;
    }
    const bool otherPending = m_running.size() > 1;
    if (m_phase == Phase::Forwarding) {
        fail(*expired, AttemptResult::Timeout, now, steps);
    } else if (otherPending || (mayStartAgain(now) && scheduleStart(now))) {
        recordFailure(*expired, timeoutResult());
        cancel(expired->number, timeoutResult(), steps);
    } else {
        // No other attempt can follow, so this one may use the time until the deadline.
        expired->timeoutAt = m_settings.deadline.at();
    }
    return true;
}

} // namespace mulberryplank
