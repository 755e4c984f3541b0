#include "mulberryplank/net/gatewaysession.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

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

constexpr std::size_t BodyPieceSize = 16 * 1024;
constexpr Duration BodyIdleTimeout = Seconds(30); // between two pieces of a request's body
constexpr Duration LingerTimeout = Seconds(2); // for a caller to stop sending after a connection's last response
constexpr Duration DefaultTimeout = Seconds(60); // when neither the caller nor the route gives a timeout
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

std::string_view view(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace

} // namespace internal

struct GatewaySession::Request {
    Request(std::uint32_t headerBytes, std::uint64_t bodyBytes)
    {
        parser.header_limit(headerBytes);
        parser.body_limit(bodyBytes);
    }

    RequestParser parser;
    RouteTablePtr table;
    CallerFields fields;
    std::string body;
    bool bodyComplete = false;
    bool keepAlive = false;
    Instant arrived {};
    Instant deadline {};
    const HostRoute *route = nullptr; // in `table`
    const ClientAccount *account = nullptr; // the caller's, in `table`; nullptr if it has none
    ServiceName service;
    RequestFingerprint fingerprint {};
};

GatewaySession::GatewaySession(DataSocket socket, GatewayContext &context)
    : m_context(context)
    , m_stream(std::move(socket), context.forward.worker->wheel)
{
    ++m_context.connections;
}

GatewaySession::~GatewaySession()
{
    --m_context.connections;
}

DataAwaitable<void> GatewaySession::run()
{
    setDataSocketOptions(m_stream.socket());
    // GCC 12 miscompiles an await within a condition of a loop, so the result gets a name.
    bool keepOpen = true;
    while (keepOpen) {
        m_responded = false;
        keepOpen = co_await serveOne();
    }
    if (m_responded && m_stream.socket().is_open()) {
        co_await lingeringClose(m_stream, internal::LingerTimeout);
    }
    m_stream.close();
}

DataAwaitable<bool> GatewaySession::serveOne()
{
    const RequestLimits defaultLimits;
    RouteTablePtr table = m_context.routes();
    const Duration idleTimeout = (table ? table->limits : defaultLimits).idleTimeout;
    m_stream.expiresAt(Clock::now() + idleTimeout);
    const error_code closed = co_await m_stream.waitForInput();
    if (closed) {
        co_return false;
    }
    table = m_context.routes();
    const RequestLimits limits = table ? table->limits : defaultLimits;
    Request request(limits.headerBytes, limits.bodyBytes);
    request.arrived = Clock::now();
    request.deadline = request.arrived + internal::DefaultTimeout;
    m_stream.readingExpiresAt(request.arrived + limits.headerTimeout);
    const Result<void> header = co_await readRequestHeader(m_stream, request.parser, limits.headerBytes);
    if (!header) {
        if (header.error().kind != ErrorKind::Cancelled) {
            co_await refuse(request, header.error(), Outcome::NotRun);
        }
        co_return false;
    }
    m_stream.expiresNever();
    request.keepAlive = request.parser.get().keep_alive();
    request.fields = m_context.forward.codec.readCaller(request.parser.get());
    if (request.fields.timeLeft) {
        request.deadline = request.arrived + *request.fields.timeLeft;
    }
    ++m_context.inFlight;
    const bool keepOpen = co_await forward(request);
    --m_context.inFlight;
    co_return keepOpen &&m_stream.socket().is_open();
}

// The body is read whole, so that the request can be sent again if its kind allows that.
DataAwaitable<Result<void>> GatewaySession::readBody(Request &request)
{
    const bool expectsContinue = http::token_list(request.parser.get()[http::field::expect]).exists("100-continue");
    if (expectsContinue && !request.parser.is_done()) {
        m_stream.expiresAt(Clock::now() + m_context.forward.limits.writeTimeout);
        const error_code error = co_await m_stream.write(asio::buffer(ContinueResponse));
        if (error) {
            co_return failure(ErrorKind::Cancelled, "the caller disconnected");
        }
    }
    while (!request.parser.is_done()) {
        m_stream.readingExpiresAt(std::min(request.deadline, Clock::now() + internal::BodyIdleTimeout));
        const BodyPiece piece = co_await m_stream.appendBody(request.parser, request.body, internal::BodyPieceSize);
        if (piece.error == http::error::body_limit) {
            co_return failure(ErrorKind::BodyTooLarge, "the body is too large");
        }
        if (piece.error) {
            const ErrorKind kind = m_stream.timedOut() ? ErrorKind::RequestTimeout : ErrorKind::Cancelled;
            co_return failure(kind, "the body ended early or did not arrive in time");
        }
    }
    m_stream.expiresNever();
    request.bodyComplete = true;
    co_return Result<void> {};
}

RequestFingerprint GatewaySession::fingerprint(const Request &request) const
{
    const auto &message = request.parser.get();
    RequestContent content;
    content.method = internal::view(message.method_string());
    content.host = fieldValue(message, "Host");
    content.target = internal::view(message.target());
    content.account = request.account != nullptr ? request.account->name.value() : request.fields.credentials;
    content.body = request.body;
    return m_context.forward.fingerprinter.fingerprint(content);
}

// Determines the request's route and its caller's account by the configuration in force. Errors: NotReady without a
// configuration, Unauthenticated, NotFound.
Result<void> GatewaySession::identify(Request &request)
{
    request.table = m_context.routes();
    request.route = nullptr;
    request.account = nullptr;
    if (!request.table) {
        return failure(ErrorKind::NotReady, "no configuration yet");
    }
    const auto &message = request.parser.get();
    const std::string_view host = fieldValue(message, "Host");
    request.route = request.table->find(host, internal::view(message.target()));
    if (request.table->accounts) {
        request.account = request.table->accounts->find(request.fields.accountKey);
        const bool needsKey = request.route == nullptr || !request.route->isPublic;
        if (request.account == nullptr && needsKey) {
            return failure(ErrorKind::Unauthenticated, "no key, or a key of no account");
        }
    }
    if (request.route == nullptr) {
        return failure(ErrorKind::NotFound, "no route for this host and path");
    }
    return {};
}

// Determines the request's service and deadline.
Result<ForwardRequest> GatewaySession::prepare(Request &request)
{
    if (m_context.closing) {
        return failure(ErrorKind::Draining, "this process is shutting down");
    }
    request.deadline = std::min(request.deadline, request.arrived + request.route->timeout);
    request.service = m_context.split.next(*request.route);
    ForwardRequest forward;
    forward.parser = &request.parser;
    forward.caller = &m_stream;
    forward.table = request.table;
    forward.route = request.route;
    forward.service = request.service;
    forward.fields = request.fields;
    forward.isIdentified = request.table->accounts.has_value();
    forward.account = request.account != nullptr ? request.account->name : AccountName();
    const auto ownPriority = request.account != nullptr ? request.account->priority : std::nullopt;
    forward.priority = ownPriority.value_or(request.route->priority);
    forward.fingerprint = request.fingerprint;
    forward.arrived = request.arrived;
    forward.deadline = request.deadline;
    return forward;
}

DataAwaitable<bool> GatewaySession::forward(Request &request)
{
    // A caller without a valid key can't make this process read a body.
    Result<void> identified = identify(request);
    if (!identified && identified.error().kind == ErrorKind::Unauthenticated) {
        request.bodyComplete = request.parser.is_done();
        co_return co_await refuse(request, identified.error(), Outcome::NotRun);
    }
    const Result<void> body = co_await readBody(request);
    if (!body) {
        if (body.error().kind != ErrorKind::Cancelled) {
            co_await refuse(request, body.error(), Outcome::NotRun);
        }
        co_return false;
    }
    if (!m_context.routes()) {
        co_await m_context.awaitRoutes();
    }
    // The version in force may have changed while the body was arriving, and a key may have been withdrawn.
    if (request.table != m_context.routes()) {
        identified = identify(request);
    }
    // The fleet's key, which fingerprints depend on, is known before the routes are.
    request.fingerprint = fingerprint(request);
    if (!identified) {
        co_return co_await refuse(request, identified.error(), Outcome::NotRun);
    }
    Result<ForwardRequest> prepared = prepare(request);
    if (!prepared) {
        co_return co_await refuse(request, prepared.error(), Outcome::NotRun);
    }
    const std::optional<Duration> quarantineLeft = m_context.forward.quarantineLeft(request.fingerprint);
    if (quarantineLeft) {
        const Error error { ErrorKind::RequestQuarantined, "this request crashed the targets that ran it" };
        co_return co_await refuse(request, error, Outcome::NotRun, quarantineLeft);
    }
    const bool targetsKnown = co_await m_context.ensureTargets();
    if (!targetsKnown) {
        const Error error { ErrorKind::NotReady, "no list of targets is available" };
        co_return co_await refuse(request, error, Outcome::NotRun);
    }
    co_await m_context.ensureKnowledge(request.service);
    if (request.account != nullptr) {
        const std::optional<Duration> turn = co_await m_context.admit(*request.account, prepared->priority);
        if (turn) {
            const Error error { ErrorKind::RateLimited, "the account has used up its limit" };
            co_return co_await refuse(request, error, Outcome::NotRun, turn);
        }
    }
    prepared->body = std::move(request.body);
    const boost::intrusive_ptr<Forwarder> forwarder(new Forwarder(m_context.forward, std::move(*prepared)));
    ForwardResult end = co_await forwarder->run();
    logResult(request, end);
    if (end.response) {
        const bool keepOpen = co_await forwardResponse(request, std::move(*end.response));
        recordResult(request, Outcome::Answered, end.error);
        co_return keepOpen;
    }
    if (end.error == ErrorKind::Cancelled) {
        recordResult(request, Outcome::Unknown, ErrorKind::Cancelled);
        abortConnection(m_stream);
        co_return false;
    }
    if (request.account != nullptr && end.outcome == Outcome::NotRun) {
        m_context.giveBack(*request.account);
    }
    const Error error { *end.error, "" };
    std::optional<Duration> turn;
    if (end.restLeft) {
        turn = *end.restLeft + retryAfter(request);
    }
    co_return co_await refuse(request, error, end.outcome, turn);
}

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
                               { "duration_ms", millis(now - request.arrived) },
                               { "left_ms", millis(request.deadline - now) } });
}

// Forwards a target's response unchanged except for the fields that apply to one connection only.
DataAwaitable<bool> GatewaySession::forwardResponse(Request &request, ForwardedResponse response)
{
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
    request.keepAlive = request.keepAlive && !m_context.draining;
    if (!request.keepAlive) {
        header.set(http::field::connection, "close");
    }
    std::string bytes = headerBytes(std::move(header));
    bytes += chunked ? chunkBytes(response.body) : response.body;
    m_stream.expiresAt(Clock::now() + m_context.forward.limits.writeTimeout);
    const error_code error = co_await m_stream.write(asio::buffer(bytes));
    if (error) {
        co_return false;
    }
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
    std::vector<char> buffer(internal::BodyPieceSize);
    while (!response.header->is_done()) {
        const BodyPiece piece =
            co_await response.bodyConnection->stream.readBody(*response.header, asio::buffer(buffer));
        if (piece.error) {
            m_context.forward.events(Event::BodyAborted,
                                     { { "request", request.fields.attemptId },
                                       { "service", request.service.value() },
                                       { "route", request.route->name },
                                       { "target", response.target.value() },
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
    const bool keepAlive = request.keepAlive && request.bodyComplete && !m_context.draining;
    const bool head = request.parser.get().method() == http::verb::head;
    const std::string bytes = localResponseBytes(response, request.fields.attemptId, keepAlive, head);
    m_stream.expiresAt(Clock::now() + m_context.forward.limits.writeTimeout);
    const error_code failed = co_await m_stream.write(asio::buffer(bytes));
    m_responded = !failed;
    co_return !failed && keepAlive;
}

} // namespace mulberryplank
