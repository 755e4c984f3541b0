#include "mulberryplank/net/forwarder.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "forwardattemptstate.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// A hedge starts early enough to get its response within the target latency with probability HedgeLatencyQuantile. It
// starts no earlier than the EarliestHedgeQuantile of the route's latency, and no later than the LatestHedgeQuantile.
// Earlier hedges would mostly duplicate requests that are about to finish, and later ones would mostly be too late.
constexpr double HedgeLatencyQuantile = 0.8;
constexpr double EarliestHedgeQuantile = 0.8;
constexpr double LatestHedgeQuantile = 0.97;

// The part of the budget that hedges leave to retries. Retries are needed more, because their first attempt is known to
// have failed.
constexpr double RetryReserve = 1;

// A hedge is started only if at least this share of the route's responses arrives within the time left. A hedge with a
// smaller chance uses budget that other requests could use successfully.
constexpr double MinHedgeChance = 0.5;

// The delay before a hedge that the budget or the targets didn't allow is tried again. During this time another gateway
// may lend the requested budget, or old attempts may leave the window.
constexpr Duration HedgeRetryDelay = Millis(50);

// How long a request that can't be sent again for lack of budget waits for a loan, and the interval at which it checks.
// A loan takes one round trip between gateways; a request that gets none is refused after this time.
constexpr Duration LoanWait = Millis(20);
constexpr Duration LoanPollInterval = Millis(4);

} // namespace

} // namespace internal

Forwarder::Forwarder(ForwardContext &context, ForwardRequest request)
    : m_context(context)
    , m_request(std::move(request))
    , m_service(context.service(m_request.service))
    , m_plan(*m_request.route, m_request.deadline)
    , m_signal(context.worker->context.get_executor())
    , m_timer([this] {
        m_signal.set();
    })
    , m_headRequest(m_request.parser->get().method() == boost::beast::http::verb::head)
{
}

Forwarder::~Forwarder() = default;

// Returns true if the process may end before a further attempt does, and the request can still be served by another
// process: it isn't sent any more unless it is idempotent and was sent before.
bool Forwarder::isTooLate() const
{
    return m_context.closing && (m_plan.started() == 0 || !isIdempotent(m_request.route->kind));
}

bool Forwarder::anyRunning() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(), [](const AttemptPtr &attempt) {
        return !attempt->ended && !attempt->cancelled;
    });
}

// Returns true if the request was sent to this address before. Targets that are restarted keep their address, but not
// their name.
bool Forwarder::hasAttemptAt(const Endpoint &endpoint) const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(), [&endpoint](const AttemptPtr &attempt) {
        return attempt->target.endpoint == endpoint;
    });
}

// Only retries count as demand that the budget keeps a part for: the first attempt of a hedge may still succeed.
bool Forwarder::budgetAllows(AttemptCause cause, double reserve, Instant now)
{
    WindowBudget &budget = m_service.budget;
    if (cause == AttemptCause::Retry && !m_recordedDemand) {
        budget.recordDemand(m_request.priority, now);
        m_recordedDemand = true;
    }
    if (budget.leftFor(m_request.priority, now) >= 1 + reserve) {
        return true;
    }
    ++m_context.counters.budgetRefused;
    if (budget.left(now) >= 1 + reserve) {
        ++m_context.counters.budgetKept;
    }
    if (cause == AttemptCause::Retry) {
        budget.recordShortage(now);
    }
    m_awaitsLoan = m_context.requestBudget(m_request.service);
    return false;
}

// Returns false if no target is available, the budget is used up, or the request crashes its targets. If the budget is
// used up, m_awaitsLoan tells whether it may be extended.
bool Forwarder::startAttempt(AttemptCause cause)
{
    const Instant now = Clock::now();
    m_awaitsLoan = false;
    if (m_context.quarantineLeft(m_request.fingerprint)) {
        return false;
    }
    const double reserve = cause == AttemptCause::Hedge ? internal::RetryReserve : 0;
    if (cause != AttemptCause::First && !budgetAllows(cause, reserve, now)) {
        return false;
    }
    TargetSelection selection;
    selection.route = m_request.route;
    selection.excluded = m_tried;
    selection.requestBytes = m_request.body.size();
    selection.timeLeft = m_request.deadline - now;
    selection.connected = [this](const Endpoint &endpoint) {
        return m_context.worker->pool.has(endpoint) && !hasAttemptAt(endpoint);
    };
    // If the budget doesn't allow another attempt after this one, this is the last.
    const double ownCost = cause == AttemptCause::First ? 0 : 1;
    selection.isLast = m_plan.nextAttemptIsLast()
                       || m_service.budget.leftFor(m_request.priority, now) < ownCost + 1 + internal::RetryReserve;
    std::optional<ChosenTarget> chosen = m_service.balancer.choose(selection, now);
    if (!chosen) {
        return false;
    }
    if (cause != AttemptCause::First && !m_service.budget.trySpend(now, reserve, m_request.priority)) {
        return false;
    }
    m_recordedDemand = false;
    AttemptPtr attempt(new AttemptState);
    attempt->target = std::move(*chosen);
    attempt->started = now;
    attempt->mayReuseConnection = !hasAttemptAt(attempt->target.endpoint);
    m_tried.push_back(attempt->target.id);
    m_service.balancer.begin(attempt->target.id, *m_request.route, now);
    if (attempt->target.wasUnused) {
        // Otherwise each of the other gateways would send it a request as well, and lose it if the target is faulty.
        share(*attempt, AttemptResult::Cancelled, 0);
    }
    attempt->noResponseReportAt = m_service.balancer.nextNoResponseReport(attempt->target.id, now);
    m_plan.onStarted();
    m_context.counters.attemptsWhileClosing += m_context.closing ? 1 : 0;
    m_attempts.push_back(attempt);
    boost::asio::co_spawn(
        m_context.worker->context,
        [self = boost::intrusive_ptr<Forwarder>(this), attempt]() -> DataAwaitable<void> {
            co_await self->runAttempt(attempt);
        },
        boost::asio::detached);
    return true;
}

void Forwarder::logAttempt(const AttemptState &attempt, AttemptResult result) const
{
    const Instant now = Clock::now();
    const std::optional<Duration> &loadAge = attempt.target.loadAge;
    const WindowBudget::Usage used = m_service.budget.usage(now);
    m_context.events(Event::AttemptFailed,
                     { { "request", m_request.fields.attemptId },
                       { "content", toString(m_request.fingerprint) },
                       { "service", m_request.service.value() },
                       { "route", m_request.route->name },
                       { "config", m_request.table->version },
                       { "target", attempt.target.id.value() },
                       { "address", toString(attempt.target.endpoint) },
                       { "result", std::string(toString(result)) },
                       { "attempt", m_plan.started() },
                       { "sent", attempt.sent ? 1 : 0 },
                       { "reused", attempt.idle ? 1 : 0 },
                       { "response", std::string(attempt.identity ? toString(*attempt.identity) : "none") },
                       { "status", attempt.status() },
                       { "duration_ms", std::chrono::duration_cast<Millis>(now - attempt.started).count() },
                       { "left_ms", std::chrono::duration_cast<Millis>(m_request.deadline - now).count() },
                       { "risk", attempt.target.risk },
                       { "load", attempt.target.load },
                       { "load_age_ms", loadAge ? std::chrono::duration_cast<Millis>(*loadAge).count() : -1 },
                       { "budget", m_service.budget.left(now) },
                       { "budget_requests", used.requests },
                       { "budget_spent", used.spent } });
}

// Called for a response that is not the request's own, and is discarded.
void Forwarder::noteStrayResponse(const AttemptState &attempt, const ResponseFields &fields)
{
    ForwardCounters &counters = m_context.counters;
    ++(attempt.identity == ResponseIdentity::Missing ? counters.unidentifiedResponses : counters.mismatchedResponses);
    m_context.events(Event::ResponseDiscarded,
                     { { "request", m_request.fields.attemptId },
                       { "service", m_request.service.value() },
                       { "target", attempt.target.id.value() },
                       { "reused", attempt.idle ? 1 : 0 },
                       { "response", std::string(toString(*attempt.identity)) },
                       { "status", attempt.status() },
                       { "notrun", fields.notRun ? 1 : 0 } });
}

void Forwarder::recordOutcome(AttemptState &attempt, AttemptResult result)
{
    const Instant now = Clock::now();
    AttemptOutcome end;
    end.result = result;
    end.latency = now - attempt.started;
    end.responseBytes = attempt.body.size();
    end.load = attempt.fields.load;
    const std::optional<double> evidence =
        m_service.balancer.end(attempt.target.id, *m_request.route, attempt.started, end, now);
    if (evidence) {
        share(attempt, result, *evidence);
    }
    if (attempt.fields.wrongTarget) {
        m_service.balancer.markRemoved(attempt.target.id);
    }
    noteCrossing(attempt);
    noteRateLimit(attempt);
    attempt.recorded = true;
    recordCrashEvidence(attempt, result);
    m_context.metrics.recordAttempt(m_request.service, attempt.target.id, result, end.latency);
    if (result == AttemptResult::Success || (result == AttemptResult::Cancelled && !m_callerDisconnected)) {
        return;
    }
    logAttempt(attempt, result);
}

void Forwarder::noteCrossing(const AttemptState &attempt)
{
    const ChosenTarget &target = attempt.target;
    if (target.leavesDomain) {
        const std::string_view reason = target.reason ? toString(*target.reason) : "unbound";
        DomainCrossings &crossings = m_service.crossings[{ target.failureDomain, reason }];
        ++crossings.attempts;
        crossings.bytes += (attempt.sent ? m_request.body.size() : 0) + attempt.body.size();
    }
}

// A response without a limit withdraws the limits that were named before its request was sent. Its own time isn't
// known: it may have been sent before a limit was named to another request.
void Forwarder::noteRateLimit(const AttemptState &attempt)
{
    if (attempt.identity != ResponseIdentity::Own || attempt.fields.wrongTarget) {
        return;
    }
    const Instant at = attempt.fields.rateLimit ? Clock::now() : attempt.started;
    m_context.noteRateLimit(m_request.service, attempt.target.id, { attempt.fields.rateLimit, at });
}

// Called as soon as the header has arrived: the attempt may be given up before the rest of the response.
void Forwarder::noteTargetNotice(const AttemptState &attempt)
{
    const TargetNotice &notice = attempt.fields.notice;
    if (!attempt.fields.wrongTarget && (notice.isLeaving || notice.rest)) {
        m_context.noteTargetNotice(m_request.service, attempt.target.id, notice, attempt.connection->relay);
    }
}

void Forwarder::recordCrashEvidence(const AttemptState &attempt, AttemptResult result)
{
    if (result == AttemptResult::Success) {
        m_context.requestSucceeded(m_request.fingerprint);
        return;
    }
    if (result == AttemptResult::ServerError) {
        m_context.requestFailed(m_request.fingerprint);
        return;
    }
    const bool connectionEnded = result == AttemptResult::Reset || result == AttemptResult::Truncated;
    if (!connectionEnded || !attempt.sent) {
        return;
    }
    LostAttempt lost;
    lost.target = attempt.target.id;
    lost.endpoint = attempt.target.endpoint;
    lost.request = m_request.fingerprint;
    lost.sentAt = attempt.started;
    lost.openedAt = attempt.connection->openedAt;
    lost.isLeaving = [&balancer = m_service.balancer, id = attempt.target.id] {
        return balancer.isLeaving(id);
    };
    lost.hasAttemptFromBefore = [&balancer = m_service.balancer, id = attempt.target.id](Instant instant) {
        return balancer.hasAttemptFromBefore(id, instant);
    };
    lost.noteRefused = [&context = m_context, service = m_request.service, target = attempt.target.id] {
        context.paths.noteConnection(service, target, false, Clock::now());
    };
    lost.isPathLost = [&path = m_service.path] {
        return path.isLost();
    };
    lost.isNewerThanLoss = [&path = m_service.path](Instant instant) {
        return path.isNewerThanLoss(instant);
    };
    m_context.attemptLost(lost);
}

// While the path of this process is lost, failures over it are no evidence against targets, which other gateways reach.
void Forwarder::share(const AttemptState &attempt, AttemptResult result, double logRatio)
{
    const bool isRelayed = attempt.connection && attempt.connection->relay != 0;
    if (m_service.path.isLost() && !isRelayed && isFault(result)) {
        return;
    }
    m_context.share(attemptReport(attempt.target.id, result, logRatio, Clock::now() - attempt.started));
}

// Reports attempts that have been without a response for long to the other gateways.
void Forwarder::shareMissingResponses(Instant now)
{
    for (const AttemptPtr &attempt : m_attempts) {
        const std::optional<Instant> due = attempt->noResponseReportAt;
        if (attempt->recorded || !due || now < *due) {
            continue;
        }
        if (attempt->connection && attempt->connection->relay == 0
            && !m_service.path.hasRespondedSince(attempt->started)) {
            m_context.paths.suspectPath(m_request.service);
        }
        TargetBalancer &balancer = m_service.balancer;
        const TargetName &target = attempt->target.id;
        const std::optional<double> evidence = balancer.takeNoResponseEvidence(target, attempt->started, now);
        if (evidence) {
            share(*attempt, AttemptResult::Timeout, *evidence);
        }
        attempt->noResponseReportAt = balancer.nextNoResponseReport(target, attempt->started);
    }
}

// Cancels the running attempts. Each attempt's connection is closed with it, so that the target stops working and a
// late response is never read.
void Forwarder::cancelRunning()
{
    for (const AttemptPtr &attempt : m_attempts) {
        if (attempt->recorded) {
            continue;
        }
        attempt->cancelled = true;
        if (attempt->connection) {
            attempt->connection->stream.close();
        }
        // An attempt that had no response until the deadline counts against its target. An attempt whose request got
        // its response from another target, whose caller disconnected, or that outlasts this process, does not.
        const bool timedOut = !m_response && !m_callerDisconnected && !m_processEnds;
        recordOutcome(*attempt, timedOut ? AttemptResult::Timeout : AttemptResult::Cancelled);
    }
}

ForwardedResponse Forwarder::takeResponse(AttemptState &attempt)
{
    ForwardedResponse response;
    response.header = std::move(attempt.parser);
    response.body = std::move(attempt.body);
    response.bodyLease = std::move(attempt.bodyLease);
    response.target = attempt.target.id;
    if (attempt.hasMoreBody) {
        response.bodyConnection = std::move(attempt.connection);
    }
    return response;
}

void Forwarder::handleResult(AttemptState &attempt)
{
    recordOutcome(attempt, attempt.result);
    if (attempt.result == AttemptResult::Success) {
        m_response = takeResponse(attempt);
        return;
    }
    m_plan.onFailed(attempt.result, attempt.sent);
    // The target's own error is forwarded if no better response arrives, except for a status which implies that the
    // request did not run.
    if (attempt.result == AttemptResult::ServerError && !impliesNotRun(attempt.status())) {
        m_errorResponse = takeResponse(attempt);
    }
}

void Forwarder::handleEndedAttempts()
{
    for (std::size_t index = 0; index < m_attempts.size() && !m_response; ++index) {
        if (m_attempts[index]->ended && !m_attempts[index]->recorded) {
            handleResult(*m_attempts[index]);
        }
    }
}

// Sets the time of the hedge to a second target, for idempotent requests.
void Forwarder::planHedge(Instant now)
{
    m_hedgeAt.reset();
    m_minHedgeTime = {};
    if (!isIdempotent(m_request.route->kind) || m_request.route->maxAttempts < 2) {
        return;
    }
    const TargetBalancer &balancer = m_service.balancer;
    const auto typical = balancer.latencyQuantile(*m_request.route, internal::HedgeLatencyQuantile);
    const auto earliest = balancer.latencyQuantile(*m_request.route, internal::EarliestHedgeQuantile);
    const auto latest = balancer.latencyQuantile(*m_request.route, internal::LatestHedgeQuantile);
    if (!typical || !earliest || !latest) {
        m_hedgeAt = now + m_request.route->targetLatency / 2;
        return;
    }
    m_minHedgeTime = balancer.latencyQuantile(*m_request.route, internal::MinHedgeChance).value_or(Duration {});
    const Instant lastUseful = m_request.arrived + m_request.route->targetLatency - *typical;
    m_hedgeAt = std::clamp(lastUseful, now + *earliest, now + std::max(*earliest, *latest));
}

bool Forwarder::hedgeIsDue(Instant now) const
{
    return m_hedgeAt && now >= *m_hedgeAt && anyRunning() && m_plan.mayStart(now)
           && now <= m_request.deadline - m_minHedgeTime;
}

// Starts another attempt after all others have failed. Returns false if the request ends without one.
bool Forwarder::retry(Instant now)
{
    if (!m_plan.mayStart(now) || isTooLate()) {
        return false;
    }
    if (startAttempt(AttemptCause::Retry)) {
        ++m_context.counters.retries;
        m_loanExpectedUntil.reset();
        planHedge(now);
        return true;
    }
    m_hedgeAt.reset();
    m_loanExpectedUntil = m_loanExpectedUntil.value_or(now + internal::LoanWait);
    return m_awaitsLoan && now < *m_loanExpectedUntil;
}

void Forwarder::arm()
{
    Instant next = m_request.deadline;
    if (m_loanExpectedUntil) {
        next = std::min(next, Clock::now() + internal::LoanPollInterval);
    }
    if (m_hedgeAt) {
        next = std::min(next, *m_hedgeAt);
    }
    for (const AttemptPtr &attempt : m_attempts) {
        if (!attempt->recorded && attempt->noResponseReportAt) {
            next = std::min(next, *attempt->noResponseReportAt);
        }
    }
    m_context.worker->wheel.arm(m_timer, next);
}

DataAwaitable<ForwardResult> Forwarder::run()
{
    const boost::intrusive_ptr<Forwarder> self(this);
    m_service.budget.onRequest(Clock::now());
    {
        const CallerWatch::Listener listener(*m_request.caller, [this] {
            m_callerDisconnected = true;
            m_signal.set();
        });
        const RunningRequests::Listener running(m_context.worker->running, [this] {
            m_processEnds = true;
            m_signal.set();
        });
        bool mayContinue = !isTooLate() && startAttempt(AttemptCause::First);
        planHedge(Clock::now());
        while (mayContinue) {
            arm();
            co_await m_signal.wait();
            handleEndedAttempts();
            const Instant now = Clock::now();
            shareMissingResponses(now);
            if (m_response || m_callerDisconnected || m_processEnds || now >= m_request.deadline) {
                break;
            }
            if (!anyRunning()) {
                mayContinue = retry(now);
            } else if (hedgeIsDue(now)) {
                if (startAttempt(AttemptCause::Hedge)) {
                    m_hedgeAt.reset();
                    ++m_context.counters.hedges;
                } else {
                    m_hedgeAt = now + internal::HedgeRetryDelay;
                }
            }
        }
    }
    m_timer.disarm();
    // To the caller, the end of this process is the end of the time that its request has.
    const bool deadlineExpired = m_processEnds || Clock::now() >= m_request.deadline;
    ForwardResult end;
    end.outcome = m_plan.outcome();
    end.error = m_plan.finalError(deadlineExpired);
    if ((m_processEnds || isTooLate()) && end.outcome == Outcome::NotRun) {
        end.error = ErrorKind::Draining;
    }
    end.attempts = m_plan.started();
    end.lastTarget = m_tried.empty() ? TargetName() : m_tried.back();
    cancelRunning();
    if (m_response) {
        end.error.reset();
        end.outcome = Outcome::Answered;
        end.response = std::move(m_response);
    } else if (m_callerDisconnected) {
        end.error = ErrorKind::Cancelled;
    } else if (m_errorResponse) {
        end.outcome = Outcome::Answered;
        end.response = std::move(m_errorResponse);
    } else {
        end.restLeft = m_service.balancer.restLeft(Clock::now());
    }
    co_return end;
}

} // namespace mulberryplank
