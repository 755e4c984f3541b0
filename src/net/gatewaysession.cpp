#include "mulberryplank/net/gatewaysession.h"

#include <algorithm>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

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

constexpr Duration BodyIdleTimeout = Seconds(30); // between two pieces of a request's body
constexpr Duration LingerTimeout = Seconds(2); // for a caller to stop sending after a connection's last response
constexpr Duration DefaultTimeout = Seconds(60); // when neither the caller nor the route gives a timeout

std::string_view view(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace

} // namespace internal

GatewaySession::GatewaySession(DataSocket socket, GatewayContext &context)
    : m_context(context)
    , m_stream(std::move(socket), context.forward.worker->wheel)
    , m_watch(m_stream, context.forward.worker->wheel, [this] {
        return readAhead();
    })
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
        if (m_held) {
            keepOpen = co_await serveHeld();
        } else {
            keepOpen = co_await serveOne();
        }
        if (m_behind > 0) {
            co_await awaitOthers();
        }
        keepOpen = keepOpen && !m_order.isClosed() && m_stream.socket().is_open();
    }
    if (m_responded && m_stream.socket().is_open()) {
        co_await lingeringClose(m_stream, internal::LingerTimeout, m_context.forward.limits.writeTimeout);
    }
    m_stream.close();
}

RequestLimits GatewaySession::limits() const
{
    const RouteTablePtr table = m_context.routes();
    return table ? table->limits : RequestLimits();
}

DataAwaitable<bool> GatewaySession::serveOne()
{
    const IdleEnd end = co_await m_context.forward.worker->idleCallers.awaitRequest(
        m_stream, limits().idleTimeout, m_context.forward.limits.writeTimeout);
    if (end != IdleEnd::Request) {
        m_responded = end == IdleEnd::Drained;
        co_return false;
    }
    const RequestLimits limits = GatewaySession::limits();
    Request request(limits.headerBytes, limits.bodyBytes);
    request.hasWaited = m_inputSince.has_value();
    request.arrived = takeArrival();
    request.deadline = request.arrived + internal::DefaultTimeout;
    m_stream.readingExpiresAt(Clock::now() + limits.headerTimeout);
    const Result<void> header = co_await readRequestHeader(m_stream, request.parser, limits.headerBytes);
    if (!header) {
        if (header.error().kind != ErrorKind::Cancelled) {
            co_await refuse(request, header.error(), Outcome::NotRun);
        }
        co_return false;
    }
    m_stream.expiresNever();
    readFields(request);
    enter(request, PipelineMode::Exclusive);
    co_return co_await serve(request);
}

DataAwaitable<bool> GatewaySession::serve(Request &request)
{
    const bool keepOpen = co_await forward(request);
    leave(request, keepOpen);
    co_return keepOpen;
}

// Reads the fields of a header that has been parsed.
void GatewaySession::readFields(Request &request)
{
    request.keepAlive = request.parser.get().keep_alive();
    m_isLastRead = !request.keepAlive;
    request.fields = m_context.forward.codec.readCaller(request.parser.get());
    request.deadline = request.arrived + request.fields.timeLeft.value_or(internal::DefaultTimeout);
}

// Returns who shares the memory for bodies with others: the account, or the caller's address if it has none.
std::string GatewaySession::bufferUser(const Request &request)
{
    if (request.account != nullptr) {
        return "account " + request.account->name.value();
    }
    error_code error;
    const auto caller = m_stream.socket().remote_endpoint(error);
    return error ? "" : caller.address().to_string();
}

// Makes room for a body whose length is known, so that a request that can't be held is refused before it is sent.
Result<void> GatewaySession::reserveBody(Request &request)
{
    if (request.parser.is_done()) {
        return {};
    }
    request.bodyLease = m_context.forward.buffers.lease(BufferUse::RequestBody, bufferUser(request));
    const auto length = request.parser.content_length();
    return length ? reserveBody(request, *length) : Result<void> {};
}

// Makes room for `size` bytes of the body. Errors: BodyTooLarge if no body of that size can be held, BuffersFull.
Result<void> GatewaySession::reserveBody(Request &request, std::uint64_t size)
{
    const std::size_t largest = m_context.forward.buffers.largestBuffer();
    if (size > largest) {
        return failure(ErrorKind::BodyTooLarge, "the body is larger than this process can hold");
    }
    if (!request.bodyLease.reserve(request.body, size, std::min<std::uint64_t>(limits().bodyBytes, largest))) {
        return failure(ErrorKind::BuffersFull, "the bodies of other requests take the memory of this process");
    }
    return {};
}

// The body is read whole, so that the request can be sent again if its kind allows that.
DataAwaitable<Result<void>> GatewaySession::readBody(Request &request)
{
    Result<void> reserved = reserveBody(request);
    if (!reserved) {
        co_return reserved;
    }
    const bool expectsContinue = http::token_list(request.parser.get()[http::field::expect]).exists("100-continue");
    if (expectsContinue && !request.parser.is_done()) {
        m_stream.expiresAt(Clock::now() + m_context.forward.limits.writeTimeout);
        const error_code error = co_await m_stream.write(asio::buffer(ContinueResponse));
        if (error) {
            co_return failure(ErrorKind::Cancelled, "the caller disconnected");
        }
    }
    while (!request.parser.is_done()) {
        const auto left = request.parser.content_length_remaining();
        const std::uint64_t size =
            std::min<std::uint64_t>(left.value_or(internal::SessionBodyPieceSize), internal::SessionBodyPieceSize);
        reserved = reserveBody(request, request.body.size() + size);
        if (!reserved) {
            co_return reserved;
        }
        m_stream.readingExpiresAt(std::min(request.deadline, Clock::now() + internal::BodyIdleTimeout));
        const BodyPiece piece = co_await m_stream.appendBody(request.parser, request.body, size);
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
    if (m_context.forward.closing) {
        return failure(ErrorKind::Draining, "this process is shutting down");
    }
    request.deadline = std::min(request.deadline, request.arrived + request.route->timeout);
    request.service = m_context.split.next(*request.route);
    ForwardRequest forward;
    forward.parser = &request.parser;
    forward.caller = &m_watch;
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
    if (request.hasWaited && Clock::now() >= request.deadline) {
        const Error error { ErrorKind::DeadlineBeforeStart, "the deadline passed while earlier requests were served" };
        co_return co_await refuse(request, error, Outcome::NotRun);
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
    co_return co_await forwardPrepared(request, std::move(*prepared));
}

// Returns what a request that hasn't run has used of its account's limit.
void GatewaySession::giveBack(const Request &request)
{
    if (request.account != nullptr) {
        m_context.giveBack(*request.account);
    }
}

// Sends an admitted request to targets and delivers the response.
DataAwaitable<bool> GatewaySession::forwardPrepared(Request &request, ForwardRequest prepared)
{
    const bool isCurrent = !m_order.isGone(request.place);
    if (!isCurrent) {
        giveBack(request);
        recordResult(request, Outcome::NotRun, ErrorKind::Cancelled);
        co_return false;
    }
    if (m_stream.peerState() != PeerState::Open) {
        giveBack(request);
        request.keepAlive = false;
        const Error error { ErrorKind::Cancelled, "the caller sends no more, so it may have left" };
        co_return co_await refuse(request, error, Outcome::NotRun);
    }
    if (isIdempotent(request.route->kind)) {
        m_order.setMode(request.place, modeOf(request.route->kind));
    }
    prepared.body = std::move(request.body);
    prepared.bodyLease = std::move(request.bodyLease);
    boost::intrusive_ptr<Forwarder> forwarder(new Forwarder(m_context.forward, std::move(prepared)));
    ForwardResult end = co_await forwarder->run();
    forwarder.reset(); // the request's body isn't needed while the response is written
    logResult(request, end);
    if (end.response) {
        co_return co_await deliver(request, std::move(*end.response), end.error);
    }
    if (end.error == ErrorKind::Cancelled) {
        if (m_order.isGone(request.place)) {
            recordResult(request, Outcome::Unknown, ErrorKind::Cancelled);
            co_return false;
        }
        // A caller that has closed only its sending side takes a reset for a request that wasn't read.
        request.keepAlive = false;
    }
    if (end.outcome == Outcome::NotRun) {
        giveBack(request);
    }
    const Error error { *end.error, "" };
    std::optional<Duration> turn;
    if (end.restLeft) {
        turn = *end.restLeft + retryAfter(request);
    }
    co_return co_await refuse(request, error, end.outcome, turn);
}

} // namespace mulberryplank
