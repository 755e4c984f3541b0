#include <algorithm>
#include <array>
#include <cstdio>

#include "gatewayrequest.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/requestreading.h"
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

// The bounds of Retry-After for a rejected caller: slightly longer than targets need to finish a request, and different
// for different callers so that they don't return at the same moment. Callers honor up to a third of the time that they
// have left, so the value stays below that.
constexpr double RetryAfterShare = 0.08; // of the time left
constexpr Duration MinRetryAfter = Millis(50);
constexpr Duration MaxRetryAfter = Millis(400);

// Returns the span in seconds with three decimals.
std::string secondsText(Duration span)
{
    std::array<char, 16> text {};
    std::snprintf(text.data(), text.size(), "%.3f", toSeconds(span));
    return text.data();
}

} // namespace

} // namespace internal

void GatewaySession::recordResult(const Request &request, Outcome outcome, std::optional<ErrorKind> error)
{
    const std::string route = request.route != nullptr ? request.route->name : "";
    m_context.forward.metrics.recordRequest(route, outcome, error, Clock::now() - request.arrived);
    if (request.account != nullptr) {
        m_context.forward.metrics.recordAccountRequest(request.account->name, error);
    }
}

void GatewaySession::logResult(const Request &request, const ForwardResult &end)
{
    if (end.response && !end.error && end.attempts == 1) {
        return;
    }
    const auto millis = [](Duration span) {
        return std::chrono::duration_cast<Millis>(span).count();
    };
    const Instant now = Clock::now();
    m_context.forward.events(Event::RequestEnded,
                             { { "request", request.fields.attemptId },
                               { "content", toString(request.fingerprint) },
                               { "route", request.route->name },
                               { "service", request.service.value() },
                               { "account", request.account != nullptr ? request.account->name.value() : "" },
                               { "config", request.table->version },
                               { "kind", std::string(toString(request.route->kind)) },
                               { "outcome", std::string(toString(end.outcome)) },
                               { "error", end.error ? std::string(toString(*end.error)) : "" },
                               { "attempts", end.attempts },
                               { "target", end.lastTarget.value() },
                               { "status", end.response ? end.response->header->get().result_int() : 0 },
                               { "caller", std::string(toString(m_stream.peerState())) },
                               { "duration_ms", millis(now - request.arrived) },
                               { "left_ms", millis(request.deadline - now) } });
}

// Waits until the responses before this one are written, and forwards it. `error`: the response is a target's own
// error.
DataAwaitable<bool> GatewaySession::deliver(Request &request,
                                            ForwardedResponse response,
                                            std::optional<ErrorKind> error)
{
    if (response.bodyConnection) {
        m_order.setMode(request.place, PipelineMode::Streaming);
    }
    if (!m_order.isFirst(request.place)) {
        const bool hasTurn = co_await awaitTurn(request, response.body.size());
        if (!hasTurn) {
            recordResult(request, Outcome::Unknown, ErrorKind::Cancelled);
            co_return false;
        }
        // Targets abort a response that stays unread for long. Nothing of it has been written, so it can be reported.
        if (response.bodyConnection && response.bodyConnection->stream.peerState() == PeerState::Reset) {
            const Error reset { ErrorKind::TargetTruncated, "the target ended the response while it waited" };
            co_return co_await refuse(request, reset, Outcome::Unknown);
        }
    }
    const bool keepOpen = co_await forwardResponse(request, std::move(response));
    recordResult(request, Outcome::Answered, error);
    co_return keepOpen;
}

// During a drain, the connection is closed with the response of the last request that was read.
bool GatewaySession::drainEndsWith(const Request &request) const
{
    return m_context.draining && (request.place == 0 || m_order.isLast(request.place));
}

// Forwards a target's response unchanged except for the fields that apply to one connection only.
DataAwaitable<bool> GatewaySession::forwardResponse(Request &request, ForwardedResponse response)
{
    m_responded = false;
    const auto &message = response.header->get();
    const bool head = request.parser.get().method() == http::verb::head;
    ResponseHeader header = forwardedHeader(message, isEndToEnd);
    const bool chunked = response.bodyConnection && !response.header->content_length();
    const bool bodiless = head || message.result_int() == 204 || message.result_int() == 304;
    if (chunked) {
        header.set(http::field::transfer_encoding, "chunked");
    } else if (!bodiless && !response.bodyConnection) {
        header.set(http::field::content_length, std::to_string(response.body.size()));
    }
    request.keepAlive = request.keepAlive && !drainEndsWith(request);
    if (!request.keepAlive) {
        closeBehind(request);
        header.set(http::field::connection, "close");
    }
    std::string bytes = headerBytes(std::move(header));
    if (chunked && !response.body.empty()) {
        bytes += chunkHeader(response.body.size());
    }
    const std::string_view chunkEnd = chunked && !response.body.empty() ? ChunkEnd : "";
    const std::array<asio::const_buffer, 3> pieces { asio::buffer(bytes),
                                                     asio::buffer(response.body),
                                                     asio::buffer(chunkEnd) };
    m_stream.expiresAt(Clock::now() + m_context.forward.limits.writeTimeout);
    const error_code error = co_await m_stream.write(pieces);
    if (error) {
        co_return false;
    }
    response.bodyLease.release(response.body);
    if (response.bodyConnection) {
        co_return co_await forwardRemainingBody(request, response);
    }
    m_responded = true;
    co_return request.keepAlive;
}

// Streams the remaining body of a response that is too large to buffer. If the body is truncated, the connection is
// aborted, so that the caller can't take the response for a complete one.
DataAwaitable<bool> GatewaySession::forwardRemainingBody(Request &request, ForwardedResponse &response)
{
    const bool chunked = !response.header->content_length();
    std::vector<char> buffer(internal::SessionBodyPieceSize);
    while (!response.header->is_done()) {
        const BodyPiece piece =
            co_await response.bodyConnection->stream.readBody(*response.header, asio::buffer(buffer));
        if (piece.error) {
            m_context.forward.events(Event::BodyAborted,
                                     { { "request", request.fields.attemptId },
                                       { "service", request.service.value() },
                                       { "route", request.route->name },
                                       { "target", response.target.value() },
                                       { "dropped", m_order.size() - 1 },
                                       { "detail", piece.error.message() } });
            abortConnection(m_stream);
            co_return false;
        }
        const std::string_view data(buffer.data(), piece.size);
        std::string bytes = chunked && !data.empty() ? chunkBytes(data) : std::string(data);
        if (chunked && piece.last) {
            bytes += chunkBytes({});
        }
        m_stream.expiresAt(Clock::now() + m_context.forward.limits.writeTimeout);
        const error_code error = co_await m_stream.write(asio::buffer(bytes));
        if (error) {
            co_return false;
        }
    }
    m_responded = true;
    co_return request.keepAlive;
}

Duration GatewaySession::retryAfter(const Request &request)
{
    const Duration left = request.deadline - Clock::now();
    const Duration share = std::chrono::duration_cast<Duration>(left * internal::RetryAfterShare);
    return std::clamp(share, internal::MinRetryAfter, internal::MaxRetryAfter);
}

// `retryAfter`: when the caller may return; if empty, it is derived from the request's deadline.
DataAwaitable<bool> GatewaySession::refuse(const Request &request,
                                           const Error &error,
                                           Outcome outcome,
                                           std::optional<Duration> retryAfter)
{
    if (request.place != 0 && !m_order.isFirst(request.place)) {
        const bool hasTurn = co_await awaitTurn(request, 0);
        if (!hasTurn) {
            recordResult(request, outcome, ErrorKind::Cancelled);
            co_return false;
        }
    }
    recordResult(request, outcome, error.kind);
    m_context.forward.events(Event::RequestRefused,
                             { { "request", request.fields.attemptId },
                               { "content", toString(request.fingerprint) },
                               { "route", request.route != nullptr ? request.route->name : "" },
                               { "account", request.account != nullptr ? request.account->name.value() : "" },
                               { "config", request.table ? request.table->version : 0 },
                               { "kind", std::string(toString(error.kind)) },
                               { "outcome", std::string(toString(outcome)) },
                               { "detail", error.detail } });
    LocalResponse response = errorResponseFor(error.kind, outcome, 0, error.detail, request.fields.attemptId);
    if (error.kind == ErrorKind::Unauthenticated) {
        response.fields.emplace_back("WWW-Authenticate", m_context.forward.codec.challenge);
    }
    const bool hasRetryAfter = response.status == 503 || response.status == 429;
    if (hasRetryAfter) {
        const Duration wait = retryAfter.value_or(GatewaySession::retryAfter(request));
        response.fields.emplace_back("Retry-After", internal::secondsText(wait));
    }
    // The unread part of the request's body would be parsed as the next request.
    const bool keepAlive = request.keepAlive && request.bodyComplete && !drainEndsWith(request);
    if (!keepAlive) {
        closeBehind(request);
    }
    const bool head = request.parser.get().method() == http::verb::head;
    const std::string bytes = localResponseBytes(response, request.fields.attemptId, keepAlive, head);
    m_stream.expiresAt(Clock::now() + m_context.forward.limits.writeTimeout);
    const error_code failed = co_await m_stream.write(asio::buffer(bytes));
    m_responded = !failed;
    co_return !failed && keepAlive;
}

} // namespace mulberryplank
