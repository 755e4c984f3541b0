// Runs one attempt of a forwarder. forwarder.cpp decides which attempts are made.
#include "mulberryplank/net/forwarder.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/error.hpp>

#include "forwardattemptstate.h"
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

namespace
{

constexpr std::size_t ResponsePieceSize = 16 * 1024;
constexpr unsigned FirstRedirectStatus = 300;
constexpr unsigned FirstServerError = 500;
// Maximum number of responses without the request's id that are discarded in one attempt. After that the connection
// counts as unusable.
constexpr int MaxStrayResponses = 4;

bool isParseError(const error_code &error)
{
    const bool truncated = error == http::error::end_of_stream || error == http::error::partial_message;
    return !truncated && error.category() == http::make_error_code(http::error::bad_version).category();
}

} // namespace

} // namespace internal

DataAwaitable<void> Forwarder::runAttempt(AttemptPtr attempt)
{
    const AttemptResult result = co_await attemptOnce(attempt);
    if (attempt->cancelled) {
        co_return;
    }
    attempt->result = result;
    attempt->ended = true;
    notePath(*attempt, result);
    if (result == AttemptResult::Reset && attempt->idle) {
        m_service.idleLimit.noteReset(*attempt->idle, Clock::now());
    }
    // Only a connection without input left over is returned to the pool, since leftover bytes would hand one caller's
    // response to another. A target that responded before it had read the request still waits for the rest of it, so
    // its connection is not reusable either.
    const bool complete = attempt->parser && attempt->parser->is_done() && !attempt->hasMoreBody;
    const bool reusable = complete && attempt->sentBeforeResponse && attempt->parser->keep_alive()
                          && !attempt->parser->need_eof() && attempt->identity == ResponseIdentity::Own;
    const bool isObsolete =
        reusable && attempt->connection->relay != 0 && !m_context.paths.usesRelays(m_request.service);
    if (reusable && !isObsolete && result != AttemptResult::Mismatched) {
        attempt->connection->keepAliveTimeout = attempt->fields.keepAliveTimeout;
        m_context.worker->pool.put(attempt->target.endpoint, std::move(attempt->connection), Clock::now());
    } else if (!attempt->hasMoreBody && attempt->connection) {
        attempt->connection->stream.close();
    }
    m_signal.set();
}

DataAwaitable<AttemptResult> Forwarder::attemptOnce(AttemptPtr attempt)
{
    const bool connected = co_await connect(attempt);
    if (!connected || attempt->cancelled) {
        co_return AttemptResult::ConnectFailed;
    }
    attempt->sent = true;
    m_plan.onSending();
    attempt->connection->stream.expiresAt(m_request.deadline + Seconds(1));
    startWriting(attempt);
    co_return co_await readResponse(attempt);
}

// Reading and writing run concurrently: a target may respond before it has read the request. If it has stopped reading,
// waiting for the write would prevent its response from being read.
void Forwarder::startWriting(const AttemptPtr &attempt)
{
    asio::co_spawn(m_context.worker->context, write(attempt, requestHeader(*attempt)), asio::detached);
}

DataAwaitable<void> Forwarder::write(AttemptPtr attempt, std::string header)
{
    const boost::intrusive_ptr<Forwarder> self(this);
    const TargetConnectionPtr connection = attempt->connection;
    const std::array<asio::const_buffer, 2> pieces { asio::buffer(header), asio::buffer(m_request.body) };
    const error_code error = co_await connection->stream.write(pieces);
    attempt->written = !error;
}

DataAwaitable<bool> Forwarder::connect(AttemptPtr attempt)
{
    TargetPool &pool = m_context.worker->pool;
    const Endpoint &endpoint = attempt->target.endpoint;
    const Instant now = Clock::now();
    const Duration maxIdle = m_service.idleLimit.limit(now);
    if (attempt->mayReuseConnection) {
        attempt->connection = pool.take(endpoint, isIdempotent(m_request.route->kind), now, maxIdle);
    }
    if (attempt->connection) {
        attempt->idle = now - attempt->connection->lastResponse;
        co_return true;
    }
    const ServiceName &service = m_request.service;
    if (!m_context.paths.usesRelays(service)) {
        const Instant latest = now + m_context.limits.connectTime;
        if (co_await connectDirectly(attempt)) {
            co_return true;
        }
        const bool cutShort = attempt->connection->stream.timedOut() && m_request.deadline < latest;
        if (attempt->cancelled || cutShort) {
            co_return false;
        }
        m_context.paths.noteConnection(service, attempt->target.id, false, attempt->started);
        if (!m_context.paths.usesRelays(service)) {
            co_return false;
        }
    }
    ++m_context.counters.relayedConnects;
    const Result<TargetConnectionPtr> relayed = co_await m_context.paths.connectThroughRelay(attempt->target.id);
    attempt->connection = relayed.value_or(nullptr);
    co_return relayed.has_value();
}

DataAwaitable<bool> Forwarder::connectDirectly(AttemptPtr attempt)
{
    ++m_context.counters.connects;
    const Instant now = Clock::now();
    attempt->connection = m_context.worker->pool.create(now);
    const Instant latest = std::min(m_request.deadline, now + m_context.limits.connectTime);
    const error_code error = co_await attempt->connection->stream.connect(attempt->target.endpoint, latest);
    co_return !error;
}

// Records what the attempt shows about the path from this process to the service's targets.
void Forwarder::notePath(const AttemptState &attempt, AttemptResult result)
{
    if (!attempt.connection || attempt.connection->relay != 0 || !attempt.sent) {
        return;
    }
    const bool responded = attempt.parser != nullptr;
    if (responded) {
        m_service.path.noteResponse(Clock::now());
    }
    if (attempt.connection->reused) {
        return;
    }
    if (responded) {
        m_context.paths.noteConnection(m_request.service, attempt.target.id, true, attempt.started);
    } else if (result == AttemptResult::Reset) {
        m_context.paths.suspectPath(m_request.service);
    }
}

std::string Forwarder::requestHeader(const AttemptState &attempt) const
{
    const auto &message = m_request.parser->get();
    RequestHeader header;
    header.version(11);
    header.method_string(message.method_string());
    header.target(message.target());
    copyFields(message, header, isEndToEnd);
    header.erase(http::field::expect); // the expectation was handled here
    // The body was read completely, so its length is known for any framing that the caller used.
    header.erase(http::field::content_length);
    if (!m_request.body.empty() || fieldValue(message, "Content-Length") == "0" || m_request.parser->chunked()) {
        header.set(http::field::content_length, std::to_string(m_request.body.size()));
    }
    const Duration left = std::max<Duration>(m_request.deadline - Clock::now(), Millis(1));
    m_context.codec.writeTarget(header,
                                TargetFields { attempt.target.id, left, m_request.isIdentified, m_request.account });
    return headerBytes(std::move(header));
}

DataAwaitable<error_code> Forwarder::readHeader(AttemptPtr attempt)
{
    ResponseReading reading;
    reading.headRequest = m_headRequest;
    reading.isCancelled = [attempt] {
        return attempt->cancelled;
    };
    co_return co_await readFinalHeader(attempt->connection->stream, attempt->parser, std::move(reading));
}

// Reads responses until one repeats the id of this request. Only that one tells anything about the request or the
// target: any other may be left over from an earlier request, or belong to none.
DataAwaitable<AttemptResult> Forwarder::readResponse(AttemptPtr attempt)
{
    for (int stray = 0; stray <= internal::MaxStrayResponses; ++stray) {
        const error_code error = co_await readHeader(attempt);
        if (attempt->cancelled) {
            co_return AttemptResult::Cancelled;
        }
        if (error) {
            const bool expired = attempt->connection->stream.timedOut();
            attempt->parser.reset();
            co_return expired ? AttemptResult::Timeout
                              : (internal::isParseError(error) ? AttemptResult::Mismatched : AttemptResult::Reset);
        }
        attempt->sentBeforeResponse = attempt->written;
        ResponseFields fields = m_context.codec.readResponse(attempt->parser->get());
        attempt->identity = identityOf(m_request.fields.attemptId, fields.attemptId);
        const bool isOwn = attempt->identity == ResponseIdentity::Own;
        if (isOwn) {
            attempt->fields = std::move(fields);
            noteTargetNotice(*attempt);
        } else {
            noteStrayResponse(*attempt, fields);
        }
        const std::optional<AttemptResult> failure = co_await readBody(attempt);
        if (failure) {
            co_return *failure;
        }
        if (isOwn) {
            co_return classify(*attempt);
        }
        attempt->bodyLease.release(attempt->body);
        if (std::exchange(attempt->hasMoreBody, false)) {
            co_return AttemptResult::Mismatched;
        }
    }
    co_return AttemptResult::Mismatched;
}

// Makes room for a further piece of the body, and returns its size. Returns 0 if no more of the body is to be buffered.
std::size_t Forwarder::nextBodyPiece(AttemptState &attempt)
{
    const std::size_t size = attempt.body.size();
    const std::size_t most = m_context.limits.maxBufferedResponseBytes;
    if (size >= most) {
        return 0;
    }
    const auto left = attempt.parser->content_length_remaining();
    const std::uint64_t rest = left ? *left + 1 : most;
    const std::size_t piece = std::min<std::uint64_t>({ rest, internal::ResponsePieceSize, most - size });
    const std::size_t expected = std::min<std::uint64_t>(rest, most - size);
    return attempt.bodyLease.reserve(attempt.body, size + piece, size + expected) ? piece : 0;
}

// Reads the body up to its end, or as far as it is buffered. Returns nothing, or how it failed.
DataAwaitable<std::optional<AttemptResult>> Forwarder::readBody(AttemptPtr attempt)
{
    if (!attempt->parser->is_done()) {
        attempt->bodyLease = m_context.buffers.lease(BufferUse::ResponseBody, m_request.service.value());
    }
    while (!attempt->parser->is_done()) {
        const std::size_t size = nextBodyPiece(*attempt);
        if (size == 0) {
            attempt->hasMoreBody = true;
            co_return std::nullopt;
        }
        const BodyPiece piece = co_await attempt->connection->stream.appendBody(*attempt->parser, attempt->body, size);
        if (attempt->cancelled) {
            co_return AttemptResult::Cancelled;
        }
        if (piece.error) {
            const bool expired = attempt->connection->stream.timedOut();
            co_return expired ? AttemptResult::Timeout : AttemptResult::Truncated;
        }
    }
    co_return std::nullopt;
}

// Returns what the request's own response means for it.
AttemptResult Forwarder::classify(const AttemptState &attempt) const
{
    const unsigned status = attempt.parser->get().result_int();
    if (attempt.fields.notRun || attempt.fields.wrongTarget) {
        return AttemptResult::Shed;
    }
    if (status < internal::FirstRedirectStatus) {
        const bool verified = attempt.fields.signedBody && !attempt.fields.attemptId.empty();
        return verified ? AttemptResult::Success : AttemptResult::Mismatched;
    }
    const bool isError = status >= internal::FirstServerError || impliesNotRun(status);
    return isError ? AttemptResult::ServerError : AttemptResult::Success;
}

} // namespace mulberryplank
