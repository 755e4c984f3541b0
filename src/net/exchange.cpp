#include "mulberryplank/net/exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "exchangeattemptstate.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace internal
{

RequestPlanSettings planSettings(const ExchangeRequest &request)
{
    RequestPlanSettings settings { .requestId = request.id,
                                   .idempotent = request.route.idempotent,
                                   .resumable = request.parser->get().method() == boost::beast::http::verb::get,
                                   .deadline = request.deadline,
                                   .deadlineFromCaller = request.deadlineFromCaller,
                                   .progressTimeout = request.route.progressTimeout,
                                   .hedgeDelay = std::nullopt,
                                   .backoff = {} };
    if (request.route.idempotent && request.bodyComplete) {
        settings.hedgeDelay = request.access.state->hedgeDelay(request.routeIndex);
    }
    settings.seed = static_cast<std::uint32_t>(std::hash<std::string> {}(request.id));
    return settings;
}

} // namespace internal

Exchange::Exchange(Worker &worker, CallerContext &context, ExchangeRequest request)
    : m_worker(worker)
    , m_context(context)
    , m_request(std::move(request))
    , m_plan(internal::planSettings(m_request),
             [this] {
                 return m_request.access.state->spendRetry();
             })
    , m_timer([this] {
        apply(m_plan.onTimer(Clock::now()));
    })
    , m_watchTimer([this] {
        watchCaller();
    })
    , m_signal(worker.context.get_executor())
    , m_headRequest(m_request.parser->get().method() == boost::beast::http::verb::head)
{
    if (m_request.maxStoredResponseBytes > 0) {
        m_stored.emplace();
    }
}

Exchange::~Exchange() = default;

Exchange::AttemptState *Exchange::find(AttemptNumber number)
{
    for (const AttemptPtr &attempt : m_attempts) {
        if (attempt->number == number) {
            return attempt.get();
        }
    }
    return nullptr;
}

void Exchange::apply(const Steps &steps)
{
    for (const Step &step : steps) {
        applyStep(step);
    }
    armTimer();
    if (!steps.empty()) {
        m_signal.set();
    }
}

void Exchange::applyStep(const Step &step)
{
    switch (step.kind) {
    case StepKind::Start:
        startAttempt(step);
        break;
    case StepKind::Cancel:
        cancelAttempt(step);
        break;
    case StepKind::ForwardHeader:
    case StepKind::ContinueBody:
        m_bodySource = find(step.attempt);
        break;
    case StepKind::Finish:
        finishBodySource(step.reusable);
        m_end = step;
        break;
    case StepKind::AbortCaller:
    case StepKind::Respond:
        m_end = step;
        break;
    }
}

void Exchange::startAttempt(const Step &step)
{
    if (step.hedge) {
        ++m_context.counters.hedges;
    } else if (step.resume) {
        ++m_context.counters.resumes;
    } else if (step.attempt > 0) {
        ++m_context.counters.retries;
    }
    // run() executes the attempt itself where possible, which saves a separate coroutine. It must execute every attempt
    // that reads the caller's body, because such an attempt must not outlive the body. There is only one of them at a
    // time.
    if (step.hedge || (m_inAttempt && m_request.bodyComplete)) {
        spawnAttempt(step);
    } else {
        m_pendingStart = step;
    }
}

void Exchange::spawnAttempt(const Step &step)
{
    AttemptPtr attempt(new AttemptState(step.attempt, m_worker.context.get_executor(), *this));
    m_attempts.push_back(attempt);
    boost::asio::co_spawn(
        m_worker.context,
        [self = boost::intrusive_ptr<Exchange>(this), attempt, step]() -> DataAwaitable<void> {
            co_await self->runAttempt(attempt, step);
        },
        boost::asio::detached);
}

void Exchange::armTimer()
{
    const std::optional<Instant> wakeAt = m_plan.wakeAt();
    if (wakeAt && !m_end) {
        m_worker.wheel.arm(m_timer, *wakeAt);
    } else {
        m_timer.disarm();
    }
}

// Releases the attempt's grant. Does nothing if it was released before.
void Exchange::releaseGrant(AttemptState &attempt, AttemptResult result)
{
    if (!attempt.grant) {
        return;
    }
    const Instant now = Clock::now();
    FinishedAttempt finished;
    finished.result = result;
    finished.route = m_request.routeIndex;
    finished.latency = attempt.firstByteAt.value_or(now) - attempt.grantedAt;
    finished.slotTime = now - attempt.grantedAt;
    finished.retryAfterSeconds = attempt.shedRetryAfter;
    finished.reportedInFlight = attempt.load;
    finished.targetLeaving = attempt.targetLeaving;
    const Grant grant = *attempt.grant;
    attempt.grant.reset();
    m_timeAtTarget += finished.slotTime;
    deliverAll(m_request.access.state->finish(grant, finished, now));
}

void Exchange::cancelAttempt(const Step &step)
{
    AttemptState *attempt = find(step.attempt);
    if (attempt == nullptr || attempt->cancelled) {
        return;
    }
    attempt->cancelled = true;
    attempt->responseTimer.disarm();
    if (m_bodySource.get() == attempt) {
        m_bodySource = nullptr;
    }
    // An attempt that waits for more of the caller's body would delay the final response until that data arrives.
    if (m_bodyReader.get() == attempt) {
        m_request.caller->cancel();
    }
    if (attempt->queued != 0 && !attempt->grant) {
        m_request.access.state->cancel(attempt->queued, Clock::now());
        attempt->admissionSignal.set();
    }
    // A late response must never be read as the response to the next request, so the connection is closed with the
    // attempt.
    if (attempt->connection) {
        attempt->connection->stream.close();
    }
    releaseGrant(*attempt, step.result);
}

void Exchange::finishBodySource(bool reusable)
{
    if (!m_bodySource) {
        return;
    }
    const Instant now = Clock::now();
    const bool serverError = m_bodySource->header.body.status >= 500;
    m_bodySource->cancelled = true;
    if (reusable && m_bodySource->grant && !m_bodySource->hasEarlyResponse
        && m_bodySource->parser->get().keep_alive()) {
        m_worker.pool.put(m_bodySource->grant->endpoint, std::move(m_bodySource->connection), now);
    }
    releaseGrant(*m_bodySource, serverError ? AttemptResult::ServerError : AttemptResult::Success);
    m_request.access.state->recordResponse();
}

DataAwaitable<ExchangeResult> Exchange::run()
{
    const boost::intrusive_ptr<Exchange> self(this);
    const RunningRequests::Listener running(m_worker.running, [this] {
        apply(m_plan.onProcessEnds());
        m_signal.set();
    });
    startWatch();
    apply(m_plan.start());
    while (!m_end && !m_plan.done()) {
        if (m_bodySource) {
            co_await forwardBody();
        } else if (m_pendingStart) {
            const Step step = *m_pendingStart;
            m_pendingStart.reset();
            AttemptPtr attempt(new AttemptState(step.attempt, m_worker.context.get_executor(), *this));
            m_attempts.push_back(attempt);
            m_inAttempt = true;
            co_await runAttempt(attempt, step);
            m_inAttempt = false;
        } else {
            co_await m_signal.wait();
        }
    }
    // A response without a body is finished as soon as its header is received. Only the header remains to be forwarded.
    if (m_end && m_end->kind == StepKind::Finish && m_bodySource && !m_responseStarted) {
        beginResponse(*m_bodySource);
        co_await writeToCaller(std::string_view(), false);
    }
    m_timer.disarm();
    stopWatch();
    ExchangeResult end;
    end.callerDisconnected = m_callerDisconnected;
    end.responseBegun = m_responseStarted;
    end.outcome = m_plan.outcome();
    if (m_end) {
        end.kind = m_end->kind;
        end.step = *m_end;
    }
    if (end.kind == StepKind::Finish) {
        end.stored = std::move(m_stored);
        end.outcome = Outcome::Answered;
        m_context.recordLatency(Clock::now() - m_request.arrived, m_timeAtTarget);
    }
    co_return end;
}

} // namespace mulberryplank
