#include "mulberryplank/net/exchange.h"

#include <array>

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include "exchangeattemptstate.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/responsereading.h"
#include "mulberryplank/policy/headerrules.h"

namespace mulberryplank
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace internal
{

constexpr std::size_t BodyPieceSize = 16 * 1024;
constexpr std::uint32_t MaxResponseHeaderBytes = 32 * 1024;

} // namespace internal

void Exchange::onAttemptFailed(AttemptState &attempt, AttemptResult result)
{
    if (attempt.cancelled) {
        return;
    }
    attempt.responseTimer.disarm();
    const Steps steps = m_plan.onFailed(attempt.number, result, Clock::now());
    // A new connection to the same target is tried next. The failure counts against the target only if that fails too.
    const bool connectionOnly = !steps.empty() && steps.front().sameTarget.has_value();
    apply(steps);
    if (!attempt.cancelled) {
        attempt.cancelled = true;
        if (attempt.connection) {
            attempt.connection->stream.close();
        }
        releaseGrant(attempt, connectionOnly ? AttemptResult::Cancelled : result);
    }
}

DataAwaitable<std::optional<AdmissionResult>> Exchange::admit(AttemptPtr attempt, const Step &step)
{
    Admission admission;
    admission.account = m_request.account;
    admission.route = m_request.routeIndex;
    admission.idempotent = m_request.route.idempotent;
    admission.deadline = m_request.deadline.at();
    admission.excluded = m_plan.excluded();
    admission.only = step.sameTarget;
    admission.extra = step.attempt > 0;
    attempt->queued = ++m_context.requestNumber;
    const auto makeWaiter = [this, &attempt] {
        const boost::intrusive_ptr<Exchange> self(this);
        return WaiterPtr(new Waiter([self, attempt](AdmissionResult admitted) {
            asio::post(self->m_worker.context, [self, attempt, admitted = std::move(admitted)] {
                attempt->admitted = admitted;
                attempt->admissionSignal.set();
                if (attempt->cancelled && admitted) {
                    attempt->grant = *admitted;
                    attempt->grantedAt = Clock::now();
                    self->releaseGrant(*attempt, AttemptResult::Cancelled);
                }
            });
        }));
    };
    Deliveries deliveries;
    attempt->admitted = m_request.access.state->admit(attempt->queued, admission, makeWaiter, Clock::now(), deliveries);
    deliverAll(std::move(deliveries));
    while (!attempt->admitted && !attempt->cancelled) {
        co_await attempt->admissionSignal.wait();
    }
    if (attempt->cancelled) {
        co_return std::nullopt;
    }
    co_return attempt->admitted;
}

DataAwaitable<bool> Exchange::connect(AttemptPtr attempt, bool fresh)
{
    const Endpoint &endpoint = attempt->grant->endpoint;
    if (fresh) {
        // The last connection to this target became unresponsive or was closed during a request. The other idle ones
        // may be broken as well.
        m_worker.pool.closeIdle(endpoint);
    } else {
        attempt->connection = m_worker.pool.take(endpoint, m_request.route.idempotent, Clock::now());
    }
    const bool reused = attempt->connection != nullptr;
    m_plan.onTargetSelected(attempt->number, attempt->grant->target, reused, Clock::now());
    armTimer();
    if (reused) {
        co_return true;
    }
    attempt->connection = m_worker.pool.create(Clock::now());
    HttpStream &stream = attempt->connection->stream;
    const error_code error = co_await stream.connect(endpoint, Clock::now() + m_context.limits.connectTimeout);
    stream.expiresNever();

    co_return !error;
}

DataAwaitable<error_code> Exchange::send(AttemptPtr attempt, const Step &step)
{
    TargetRequest request;
    request.path = m_request.path;
    request.host = toString(attempt->grant->endpoint);
    request.account = m_request.account.value();
    request.requestId = m_plan.attemptRequestId(attempt->number);
    request.deadlineMs = m_request.deadline.forTarget(Clock::now());
    request.resume = step.resume;
    std::string bytes = headerBytes(targetRequestHeader(*m_request.parser, request));
    const bool chunked = m_request.parser->chunked();
    std::string tail;
    if (chunked && !m_request.body.empty()) {
        bytes += chunkHeader(m_request.body.size());
        tail = ChunkEnd;
    }
    if (chunked && m_request.bodyComplete) {
        tail += chunkBytes({});
    }
    const std::array<asio::const_buffer, 3> pieces { asio::buffer(bytes),
                                                     asio::buffer(m_request.body),
                                                     asio::buffer(tail) };
    if (!m_plan.onSending(attempt->number)) {
        co_return asio::error::operation_aborted;
    }
    armResponseTimer(*attempt);
    error_code error = co_await attempt->connection->stream.write(pieces);
    if (!error && !m_request.bodyComplete && !attempt->cancelled) {
        error = co_await sendRestOfBody(attempt);
    }
    co_return error;
}

// A middlebox between this process and the target may have dropped the state of a pooled connection. Data sent on it is
// lost, and the request would wait for its timeout although the target is healthy. A reused connection without a
// response byte in time therefore counts as broken, and the plan tries one new connection to the same target. A target
// that is only slow runs such a request twice, so this is limited to idempotent requests and paid from the retry
// budget.
void Exchange::armResponseTimer(AttemptState &attempt)
{
    if (!attempt.connection->reused || !m_request.route.idempotent || !m_request.bodyComplete) {
        return;
    }
    const std::optional<Duration> hedgeDelay = m_request.access.state->hedgeDelay(m_request.routeIndex);
    const Duration timeout = std::max(m_context.limits.reusedConnectionTimeout, hedgeDelay.value_or(Duration {}) * 2);
    m_worker.wheel.arm(attempt.responseTimer, Clock::now() + timeout);
}

void Exchange::onResponseTimeout(AttemptState &attempt)
{
    if (!attempt.cancelled && !attempt.firstByteAt && m_request.access.state->spendRetry()) {
        ++m_context.counters.unresponsiveConnections;
        onAttemptFailed(attempt, AttemptResult::Reset);
    }
}

// Detects a response that arrives while the request is still being sent. A target that rejects a large body responds at
// once. Sending the remainder would only fill its receive buffer until both sides wait for each other.
void Exchange::watchForEarlyResponse(AttemptPtr attempt)
{
    attempt->connection->stream.socket().async_wait(
        asio::socket_base::wait_read, [self = boost::intrusive_ptr<Exchange>(this), attempt](error_code error) {
            if (error || self->m_bodyReader != attempt || attempt->cancelled) {
                return;
            }
            attempt->hasEarlyResponse = true;
            self->m_request.caller->cancel();
        });
}

DataAwaitable<error_code> Exchange::sendRestOfBody(AttemptPtr attempt)
{
    HttpStream &caller = *m_request.caller;
    if (m_request.expectsContinue) {
        m_request.expectsContinue = false;
        caller.expiresAt(Clock::now() + m_context.limits.writeTimeout);
        const error_code error = co_await caller.write(asio::buffer(ContinueResponse));
        if (error || attempt->cancelled) {
            co_return error;
        }
    }
    m_plan.onRequestBodyDiscarded();
    m_bodyReader = attempt;
    watchForEarlyResponse(attempt);
    const error_code error = co_await forwardRequestBody(attempt);
    m_bodyReader = nullptr;
    caller.expiresNever();
    if (!attempt->cancelled) {
        startWatch();
    }
    co_return error;
}

// Forwards the caller's body until its end, the end of the attempt or an early response.
DataAwaitable<error_code> Exchange::forwardRequestBody(AttemptPtr attempt)
{
    HttpStream &caller = *m_request.caller;
    const bool chunked = m_request.parser->chunked();
    std::vector<char> buffer(internal::BodyPieceSize);
    while (!m_request.bodyComplete && !attempt->hasEarlyResponse) {
        caller.expiresAt(Clock::now() + m_context.limits.bodyIdleTimeout);
        const BodyPiece piece = co_await caller.readBody(*m_request.parser, asio::buffer(buffer));
        if (attempt->cancelled) {
            co_return asio::error::operation_aborted;
        }
        if (piece.error && attempt->hasEarlyResponse) {
            co_return error_code {};
        }
        if (piece.error) {
            handleCallerDisconnect();
            co_return piece.error;
        }
        m_request.bodyComplete = piece.last;
        std::string bytes;
        if (piece.size > 0) {
            const std::string_view data(buffer.data(), piece.size);
            bytes = chunked ? chunkBytes(data) : std::string(data);
        }
        if (chunked && piece.last) {
            bytes += chunkBytes({});
        }
        const error_code error = co_await attempt->connection->stream.write(asio::buffer(bytes));
        if (error || attempt->cancelled) {
            co_return error;
        }
    }
    co_return error_code {};
}

DataAwaitable<error_code> Exchange::readResponseHeader(AttemptPtr attempt)
{
    ResponseReading reading;
    reading.maxHeaderBytes = internal::MaxResponseHeaderBytes;
    reading.headRequest = m_headRequest;
    reading.isCancelled = [attempt] {
        return attempt->cancelled;
    };
    co_return co_await readFinalHeader(attempt->connection->stream, attempt->parser, std::move(reading));
}

DataAwaitable<void> Exchange::runAttempt(AttemptPtr attempt, Step step)
{
    const std::optional<AdmissionResult> admitted = co_await admit(attempt, step);
    if (!admitted) {
        co_return;
    }
    if (!*admitted) {
        const Refusal &refusal = admitted->error();
        attempt->cancelled = true;
        apply(m_plan.onNoTarget(attempt->number, refusal.kind, refusal.retryAfterSeconds));
        co_return;
    }
    attempt->grant = **admitted;
    attempt->grantedAt = Clock::now();
    const bool connected = co_await connect(attempt, step.sameTarget.has_value());
    if (!connected || attempt->cancelled) {
        onAttemptFailed(*attempt, AttemptResult::ConnectFailed);
        co_return;
    }
    error_code error = co_await send(attempt, step);
    if (attempt->cancelled) {
        co_return;
    }
    // A target may respond early and stop reading. Its response is then available although sending ended with an error.
    const error_code sendError = error;
    error = co_await readResponseHeader(attempt);
    if (error && sendError) {
        error = sendError;
    }
    attempt->responseTimer.disarm();
    if (attempt->cancelled) {
        co_return;
    }
    if (error) {
        const bool malformed = error.category() == make_error_code(http::error::bad_version).category()
                               && error != http::error::end_of_stream && error != http::error::partial_message;
        onAttemptFailed(*attempt, malformed ? AttemptResult::Mismatched : AttemptResult::Reset);
        co_return;
    }
    const Instant now = Clock::now();
    attempt->firstByteAt = now;
    attempt->header = summarizeResponse(*attempt->parser, m_headRequest);
    if (m_plan.isResponseTo(attempt->number, attempt->header)) {
        attempt->shedRetryAfter = attempt->header.retryAfterSeconds;
        attempt->load = reportedLoad(*attempt->parser);
        attempt->targetLeaving = fieldValue(attempt->parser->get(), DrainingHeader) == "1";
        m_request.access.state->recordLatency(m_request.routeIndex, now - attempt->grantedAt);
    }
    apply(m_plan.onHeader(attempt->number, attempt->header, now));
}

} // namespace mulberryplank
