#include "mulberryplank/policy/requestplan.h"

#include <algorithm>
#include <utility>

namespace mulberryplank
{

RequestPlan::RequestPlan(RequestPlanSettings settings, std::function<bool()> spendRetry)
    : m_settings(std::move(settings))
    , m_spendRetry(std::move(spendRetry))
    , m_random(m_settings.seed)
{
}

Steps RequestPlan::start()
{
    Steps steps;
    startAttempt(std::nullopt, false, steps);
    return steps;
}

void RequestPlan::onTargetSelected(AttemptNumber attempt, TargetIndex target, bool reusedConnection, Instant now)
{
    RunningAttempt *running = find(attempt);
    if (running == nullptr || running->target) {
        return;
    }
    running->target = target;
    running->reusedConnection = reusedConnection;
    if (m_phase == Phase::Forwarding) {
        running->timeoutAt = now + std::min(m_settings.progressTimeout, m_settings.deadline.remaining(now));
        return;
    }
    const std::uint32_t attemptsLeft =
        m_settings.idempotent ? m_settings.maxAttempts - m_attemptsWithoutResumes + 1 : 1;
    running->timeoutAt = now + attemptTimeout(m_settings.deadline.remaining(now), attemptsLeft);
    if (m_settings.hedgeDelay) {
        running->hedgeAt = now + *m_settings.hedgeDelay;
    }
}

Steps RequestPlan::onNoTarget(AttemptNumber attempt, ErrorKind error, int retryAfterSeconds)
{
    Steps steps;
    if (find(attempt) == nullptr) {
        return steps;
    }
    remove(attempt, true);
    m_notRunError = error;
    m_retryAfterSeconds = std::max(m_retryAfterSeconds, retryAfterSeconds);
    if (m_phase == Phase::Forwarding) {
        abortCaller(steps);
    } else if (m_running.empty() && !m_retryAt) {
        respondWithError(steps);
    }
    return steps;
}

bool RequestPlan::onSending(AttemptNumber attempt)
{
    RunningAttempt *running = find(attempt);
    if (running == nullptr) {
        return false;
    }
    running->bytesSent = true;
    return true;
}

void RequestPlan::onRequestBodyDiscarded()
{
    m_requestBodyDiscarded = true;
}

Steps RequestPlan::onFailed(AttemptNumber attempt, AttemptResult result, Instant now)
{
    Steps steps;
    RunningAttempt *running = find(attempt);
    if (running == nullptr) {
        return steps;
    }
    if (m_phase == Phase::Forwarding && m_progress->complete()) {
        // The body is complete: the response ends when its last bytes have been forwarded.
        m_receivedExcessBytes = true;
        return steps;
    }
    // A pooled connection that a middlebox has dropped fails on use although its target is healthy. One new connection
    // distinguishes this from a failed target. Without it, the failure would count against a healthy target and the
    // request would be lost.
    const bool repeatable = (m_settings.idempotent || !running->bytesSent) && !m_requestBodyDiscarded;
    const bool stale = result == AttemptResult::Reset && running->reusedConnection && running->target;
    if (m_phase == Phase::Waiting && stale && repeatable && !m_reconnected && !m_settings.deadline.passed(now)) {
        m_reconnected = true;
        const std::optional<TargetIndex> target = running->target;
        remove(attempt, false);
        --m_attemptsWithoutResumes;
        startAttempt(target, false, steps);
        return steps;
    }
    recordFailure(*running, result);
    remove(attempt, false);
    afterFailure(now, steps);
    return steps;
}

Steps RequestPlan::onHeader(AttemptNumber attempt, const ResponseSummary &header, Instant now)
{
    Steps steps;
    RunningAttempt *running = find(attempt);
    if (running == nullptr || (m_phase == Phase::Forwarding && attempt == m_forwardedAttempt)) {
        return steps;
    }
    if (!isResponseTo(attempt, header)) {
        fail(*running, AttemptResult::Mismatched, now, steps);
    } else if (m_phase == Phase::Forwarding) {
        evaluateResumeHeader(*running, header, now, steps);
    } else {
        evaluateHeader(*running, header, now, steps);
    }
    return steps;
}

std::uint64_t RequestPlan::onBody(AttemptNumber attempt, std::uint64_t bytes)
{
    if (m_phase != Phase::Forwarding || attempt != m_forwardedAttempt || find(attempt) == nullptr) {
        return 0;
    }
    const std::uint64_t accepted = m_progress->accept(bytes);
    m_receivedExcessBytes = m_receivedExcessBytes || accepted < bytes;
    m_stallTimeoutAt.reset();
    return accepted;
}

Steps RequestPlan::onForwarded(AttemptNumber attempt, Instant now)
{
    Steps steps;
    if (m_phase != Phase::Forwarding || attempt != m_forwardedAttempt || find(attempt) == nullptr) {
        return steps;
    }
    if (m_progress->complete()) {
        finish(steps);
    } else {
        m_stallTimeoutAt = now + m_settings.progressTimeout;
    }
    return steps;
}

Steps RequestPlan::onBodyEnd(AttemptNumber attempt, Instant now)
{
    Steps steps;
    RunningAttempt *running = find(attempt);
    if (m_phase != Phase::Forwarding || attempt != m_forwardedAttempt || running == nullptr) {
        return steps;
    }
    if (m_progress->isCompleteAtEnd()) {
        finish(steps);
    } else {
        fail(*running, AttemptResult::Truncated, now, steps);
    }
    return steps;
}

Steps RequestPlan::onTargetDraining(AttemptNumber attempt, Instant now)
{
    Steps steps;
    RunningAttempt *running = find(attempt);
    if (m_phase != Phase::Waiting || running == nullptr || running->bytesSent) {
        return steps;
    }
    recordFailure(*running, AttemptResult::Cancelled);
    m_notRunError = ErrorKind::NoTarget;
    cancel(attempt, AttemptResult::Cancelled, steps);
    if (!m_running.empty() || m_retryAt) {
        return steps;
    }
    if (mayStartAgain(now)) {
        startAttempt(std::nullopt, false, steps);
    } else {
        respondWithError(steps);
    }
    return steps;
}

Steps RequestPlan::onCallerDisconnected()
{
    Steps steps;
    if (m_phase != Phase::Done) {
        cancelAll(AttemptResult::Cancelled, steps);
        m_phase = Phase::Done;
    }
    return steps;
}

// No target is to blame for an attempt that outlasts the process.
Steps RequestPlan::onProcessEnds()
{
    Steps steps;
    if (m_phase != Phase::Done) {
        end(ErrorKind::Draining, AttemptResult::Cancelled, steps);
    }
    return steps;
}

std::optional<Instant> RequestPlan::wakeAt() const
{
    if (m_phase == Phase::Done) {
        return std::nullopt;
    }
    Instant next = m_settings.deadline.at();
    next = std::min(next, m_retryAt.value_or(next));
    next = std::min(next, m_stallTimeoutAt.value_or(next));
    for (const RunningAttempt &running : m_running) {
        next = std::min(next, running.timeoutAt);
    }
    if (hedgePossible()) {
        next = std::min(next, *m_running.front().hedgeAt);
    }
    return next;
}

Steps RequestPlan::onTimer(Instant now)
{
    Steps steps;
    if (m_phase == Phase::Done) {
        return steps;
    }
    if (m_settings.deadline.passed(now)) {
        onDeadline(steps);
    } else if (m_retryAt && now >= *m_retryAt) {
        m_retryAt.reset();
        if (m_phase == Phase::Forwarding) {
            startResume(steps);
        } else {
            startAttempt(std::nullopt, false, steps);
        }
    } else if (m_stallTimeoutAt && now >= *m_stallTimeoutAt) {
        fail(*find(m_forwardedAttempt), AttemptResult::Stalled, now, steps);
    } else if (!onAttemptTimeout(now, steps) && hedgePossible() && now >= *m_running.front().hedgeAt) {
        m_hedgeRefused = !m_spendRetry();
        if (!m_hedgeRefused) {
            startAttempt(std::nullopt, true, steps);
        }
    }
    return steps;
}

const std::vector<TargetIndex> &RequestPlan::excluded() const
{
    return m_excluded;
}

std::string RequestPlan::attemptRequestId(AttemptNumber attempt) const
{
    return m_settings.requestId + "-" + std::to_string(attempt);
}

bool RequestPlan::isResponseTo(AttemptNumber attempt, const ResponseSummary &header) const
{
    return header.requestId == attemptRequestId(attempt);
}

bool RequestPlan::done() const
{
    return m_phase == Phase::Done;
}

Outcome RequestPlan::outcome() const
{
    if (m_finished) {
        return Outcome::Answered;
    }
    const bool sent = std::any_of(m_running.begin(), m_running.end(), [](const RunningAttempt &running) {
        return running.bytesSent;
    });
    return m_mayHaveRun || sent ? Outcome::Unknown : Outcome::NotRun;
}

AttemptNumber RequestPlan::attempts() const
{
    return m_started;
}

} // namespace mulberryplank
