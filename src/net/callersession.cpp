#include "mulberryplank/net/callersession.h"

#include <boost/beast/http/rfc7230.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/requestreading.h"
#include "mulberryplank/policy/calleridentity.h"
#include "mulberryplank/policy/headerrules.h"

namespace mulberryplank
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace internal
{

constexpr std::string_view InternalPrefix = "/-/";
constexpr std::string_view LocatePrefix = "/-/locate/";
constexpr std::string_view ReadyPath = "/-/ready";
constexpr std::size_t BodyPieceSize = 4 * 1024;

std::string_view toStdView(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

std::string requestId(Incarnation incarnation, std::uint64_t number)
{
    std::array<char, 40> text {};
    const int size = std::snprintf(text.data(),
                                   text.size(),
                                   "%016llx-%llx",
                                   static_cast<unsigned long long>(incarnation),
                                   static_cast<unsigned long long>(number));
    return { text.data(), static_cast<std::size_t>(size) };
}

} // namespace internal

CallerSession::Request::Request(const CallerLimits &limits)
{
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
}

CallerSession::CallerSession(DataSocket socket, Worker &worker, CallerContext &context)
    : m_worker(worker)
    , m_context(context)
    , m_stream(std::move(socket), worker.wheel)
{
    ++m_context.counters.connections;
}

CallerSession::~CallerSession()
{
    --m_context.counters.connections;
    if (!m_countedAccount.empty()) {
        m_context.accountConnections.remove(m_countedAccount);
    }
}

DataAwaitable<void> CallerSession::run()
{
    setDataSocketOptions(m_stream.socket());
    // GCC 12 miscompiles an await within a condition of a loop, so the result gets a name.
    bool keepOpen = true;
    while (keepOpen) {
        m_responded = false;
        keepOpen = co_await serveOne();
    }
    if (m_responded && m_stream.socket().is_open()) {
        co_await lingeringClose(m_stream, m_context.limits.lingerTimeout, m_context.limits.writeTimeout);
    }
    m_stream.close();
}

// Small bodies are read before the request is admitted, so that it can be sent again. The body of a keyed request is
// read whole whatever its size: it distinguishes a repeat from a different request, and a caller that disconnects
// within the body must not leave the outcome of its key unknown.
DataAwaitable<Result<void>> CallerSession::readBody(Request &request, Instant deadline, bool keyed)
{
    const auto &message = request.parser.get();
    request.expectsContinue = http::token_list(message[http::field::expect]).exists("100-continue");
    if (request.parser.is_done()) {
        request.bodyComplete = true;
        co_return Result<void> {};
    }
    const auto length = request.parser.content_length();
    const std::size_t maxSize = keyed ? m_context.limits.maxKeyedBodyBytes : m_context.limits.maxBufferedBodyBytes;
    const bool fits = length && *length <= maxSize;
    if (!keyed && (!fits || request.expectsContinue)) {
        co_return Result<void> {};
    }
    if (length && !fits) {
        co_return failure(ErrorKind::BodyTooLarge, "the body of a request with an Idempotency-Key is too large");
    }
    if (request.expectsContinue) {
        request.expectsContinue = false;
        m_stream.expiresAt(Clock::now() + m_context.limits.writeTimeout);
        const error_code error = co_await m_stream.write(asio::buffer(ContinueResponse));
        if (error) {
            co_return failure(ErrorKind::Cancelled, "the caller disconnected");
        }
    }
    co_return co_await readWholeBody(request, deadline, maxSize);
}

DataAwaitable<Result<void>> CallerSession::readWholeBody(Request &request, Instant deadline, std::size_t maxSize)
{
    request.bodyLease = m_context.buffers.lease(BufferUse::RequestBody, request.account.value());
    while (!request.bodyComplete) {
        m_stream.readingExpiresAt(std::min(deadline, Clock::now() + m_context.limits.bodyIdleTimeout));
        const std::uint64_t left = request.parser.content_length_remaining().value_or(internal::BodyPieceSize);
        const std::size_t size = std::min<std::uint64_t>(left, internal::BodyPieceSize);
        if (!request.bodyLease.reserve(request.body, request.body.size() + size, maxSize + size)) {
            co_return failure(ErrorKind::BuffersFull, "the bodies of other requests take the memory of this process");
        }
        const BodyPiece piece = co_await m_stream.appendBody(request.parser, request.body, size);
        if (piece.error) {
            const ErrorKind kind = m_stream.timedOut() ? ErrorKind::RequestTimeout : ErrorKind::BadRequest;
            co_return failure(kind, "the body ended early or did not arrive in time");
        }
        if (request.body.size() > maxSize) {
            co_return failure(ErrorKind::BodyTooLarge, "the body of a request with an Idempotency-Key is too large");
        }
        request.bodyComplete = piece.last;
    }
    m_stream.expiresNever();
    co_return Result<void> {};
}

DataAwaitable<bool> CallerSession::serveOne()
{
    Request request(m_context.limits);
    const IdleEnd end = co_await m_worker.idleCallers.awaitRequest(
        m_stream, m_context.limits.idleTimeout, m_context.limits.writeTimeout);
    if (end != IdleEnd::Request) {
        m_responded = end == IdleEnd::Drained;
        co_return false;
    }
    request.arrived = Clock::now();
    m_stream.readingExpiresAt(request.arrived + m_context.limits.headerTimeout);
    request.id = internal::requestId(m_context.incarnation, ++m_context.requestNumber);
    const Result<void> header = co_await readRequestHeader(m_stream, request.parser, m_context.limits.headerBytes);
    if (!header) {
        if (header.error().kind != ErrorKind::Cancelled) {
            co_await refuse(request, header.error());
        }
        co_return false;
    }
    m_stream.expiresNever();
    const auto &message = request.parser.get();
    request.head = message.method() == http::verb::head;
    request.keepAlive = message.keep_alive() && !m_context.closing;
    ++m_context.counters.requests;
    bool keepOpen = false;
    if (internal::toStdView(message.target()).starts_with(internal::InternalPrefix)) {
        keepOpen = co_await serveInternal(request);
    } else {
        keepOpen = co_await relay(request);
    }
    --m_context.counters.requests;
    co_return keepOpen &&m_stream.socket().is_open();
}

DataAwaitable<bool> CallerSession::respond(const Request &request, LocalResponse response)
{
    // The unread part of the request's body would be parsed as the next request.
    const bool keepAlive = request.keepAlive && request.bodyComplete && !m_context.closing;
    const std::string bytes = localResponseBytes(response, request.id, keepAlive, request.head);
    m_stream.expiresAt(Clock::now() + m_context.limits.writeTimeout);
    const error_code error = co_await m_stream.write(asio::buffer(bytes));
    m_responded = !error;
    co_return !error && keepAlive;
}

DataAwaitable<bool> CallerSession::refuse(const Request &request, const Error &error)
{
    ++m_context.counters.refused;
    const ErrorInfo &row = errorInfo(error.kind);
    // The outcome is NotRun even if the table of errors gives another one: nothing was sent to a target yet.
    co_return co_await respond(
        request, errorResponseFor(error.kind, Outcome::NotRun, row.retryAfterSeconds, error.detail, request.id));
}

Result<void> CallerSession::identify(Request &request)
{
    const std::string_view value = fieldValue(request.parser.get(), "Authorization");
    const std::optional<PresentedIdentity> identity = parseAuthorization(value);
    if (!identity) {
        return failure(ErrorKind::Unauthenticated, "Authorization: Bearer ACCOUNT.SECRET is required");
    }
    const std::optional<SecretDigest> digest = m_context.accountDigest(identity->account);
    const bool verifiedBefore = digest && m_verifiedDigest == *digest && m_verifiedAuthorization == value;
    // An unknown account takes the same work and gets the same response as a wrong secret, so that callers can't find
    // out which accounts exist.
    const bool matches = verifiedBefore || secretMatches(identity->secret, digest.value_or(SecretDigest {}));
    if (!digest || !matches) {
        m_context.events(Event::CallerRefused, { { "request", request.id }, { "kind", "unauthenticated" } });
        return failure(ErrorKind::Unauthenticated, "unknown account or wrong secret");
    }
    if (!verifiedBefore) {
        m_verifiedAuthorization = value;
        m_verifiedDigest = *digest;
    }
    request.account = identity->account;
    return countConnection(request.account);
}

// Counts this connection towards the account that it has authenticated for. Without the limit per account, one account
// that leaks connections would use up those of all accounts.
Result<void> CallerSession::countConnection(const AccountName &account)
{
    if (account == m_countedAccount) {
        return {};
    }
    if (!m_context.accountConnections.tryAdd(account, m_context.limits.connectionsPerAccount)) {
        return failure(ErrorKind::TooManyConnections, "the account has too many connections to this process");
    }
    if (!m_countedAccount.empty()) {
        m_context.accountConnections.remove(m_countedAccount);
    }
    m_countedAccount = account;
    return {};
}

Result<void> CallerSession::splitTarget(Request &request) const
{
    const std::string_view target = internal::toStdView(request.parser.get().target());
    if (target.empty() || target.front() != '/') {
        return failure(ErrorKind::BadRequest, "the request target must be /SERVICE/PATH");
    }
    const std::size_t end = target.find_first_of("/?", 1);
    request.service = ServiceName(std::string(target.substr(1, end == std::string_view::npos ? end : end - 1)));
    request.path = end == std::string_view::npos ? "/" : std::string(target.substr(end));
    if (request.path.front() == '?') {
        request.path.insert(request.path.begin(), '/');
    }
    return {};
}

Result<ExchangeRequest> CallerSession::prepare(Request &request)
{
    Result<void> identified = identify(request);
    if (!identified) {
        return tl::make_unexpected(identified.error());
    }
    if (!m_context.ready) {
        return failure(ErrorKind::NotReady, "this process has no configuration yet");
    }
    const Result<void> split = splitTarget(request);
    if (!split) {
        return tl::make_unexpected(split.error());
    }
    std::optional<ServiceAccess> access = m_context.findService(request.service);
    if (!access) {
        // The caller used an outdated response of locate. The error carries the current one.
        const Result<std::string> located = m_context.locate(request.service, request.account);
        if (located) {
            return failure(ErrorKind::Misdirected, *located);
        }
        return failure(ErrorKind::UnknownService, "no such service");
    }
    const std::string_view method = internal::toStdView(request.parser.get().method_string());
    const std::optional<std::size_t> route = matchRoute(access->config->service, method, request.path);
    ExchangeRequest exchange;
    exchange.route = route ? access->config->service.routes[*route] : defaultRoute(method);
    exchange.routeIndex = route ? static_cast<std::uint16_t>(*route) : NoRoute;
    const std::string_view callerDeadline = fieldValue(request.parser.get(), DeadlineHeader);
    const Result<Deadline> deadline = deadlineFor(callerDeadline, exchange.route, request.arrived);
    if (!deadline) {
        return tl::make_unexpected(deadline.error());
    }
    exchange.deadline = *deadline;
    exchange.deadlineFromCaller = deadline->at() < request.arrived + exchange.route.timeout;
    exchange.access = std::move(*access);
    exchange.parser = &request.parser;
    exchange.caller = &m_stream;
    exchange.path = request.path;
    exchange.account = request.account;
    exchange.id = request.id;
    exchange.arrived = request.arrived;
    exchange.keepAlive = request.keepAlive;
    return exchange;
}

DataAwaitable<bool> CallerSession::relay(Request &request)
{
    Result<ExchangeRequest> exchange = prepare(request);
    if (!exchange) {
        // The body of a rejected request isn't read. The connection stays usable only when the body is empty.
        request.bodyComplete = request.parser.is_done();
        const bool keepOpen = co_await refuse(request, exchange.error());
        co_return keepOpen &&exchange.error().kind != ErrorKind::TooManyConnections;
    }
    const std::string key(fieldValue(request.parser.get(), IdempotencyKeyHeader));
    const bool keyed = !key.empty() && !exchange->route.idempotent;
    const Result<void> body = co_await readBody(request, exchange->deadline.at(), keyed);
    if (!body) {
        co_await refuse(request, body.error());
        co_return false;
    }
    exchange->body = std::move(request.body);
    exchange->bodyLease = std::move(request.bodyLease);
    exchange->bodyComplete = request.bodyComplete;
    exchange->expectsContinue = request.expectsContinue;
    if (keyed) {
        co_return co_await relayAtMostOnce(request, std::move(*exchange), key);
    }
    co_return co_await runExchange(request, std::move(*exchange));
}

DataAwaitable<bool> CallerSession::runExchange(Request &request, ExchangeRequest exchange)
{
    const boost::intrusive_ptr<Exchange> running(new Exchange(m_worker, m_context, std::move(exchange)));
    const ExchangeResult end = co_await running->run();
    request.bodyComplete = request.parser.is_done();
    co_return co_await finishRequest(request, end);
}

DataAwaitable<bool> CallerSession::finishRequest(Request &request, const ExchangeResult &end)
{
    if (end.callerDisconnected) {
        ++m_context.counters.aborted;
        if (end.responseBegun) {
            abortConnection(m_stream);
            co_return false;
        }
        // A caller that has closed only its sending side takes a reset for a request that wasn't read.
        request.keepAlive = false;
        co_return co_await respond(request, errorResponseFor(ErrorKind::Cancelled, end.outcome, 0, "", request.id));
    }
    switch (end.kind) {
    case StepKind::Finish:
        ++m_context.counters.answered;
        m_responded = true;
        co_return request.keepAlive &&request.bodyComplete;
    case StepKind::Respond: {
        ++m_context.counters.refused;
        m_context.events(Event::RequestFailed,
                         { { "account", request.account.value() },
                           { "service", request.service.value() },
                           { "request", request.id },
                           { "kind", std::string(toString(end.step.error)) },
                           { "outcome", std::string(toString(end.step.outcome)) } });
        co_return co_await respond(
            request, errorResponseFor(end.step.error, end.step.outcome, end.step.retryAfterSeconds, "", request.id));
    }
    default:
        ++m_context.counters.aborted;
        m_context.events(Event::BodyAborted,
                         { { "account", request.account.value() },
                           { "service", request.service.value() },
                           { "request", request.id },
                           { "kind", std::string(toString(end.step.error)) } });
        abortConnection(m_stream);
        co_return false;
    }
}

DataAwaitable<bool> CallerSession::serveInternal(Request &request)
{
    request.bodyComplete = request.parser.is_done();
    const std::string_view target = internal::toStdView(request.parser.get().target());
    if (target == internal::ReadyPath) {
        if (!m_context.ready) {
            const Error notReady { ErrorKind::NotReady, "this process has no configuration yet" };
            co_return co_await refuse(request, notReady);
        }
        LocalResponse ready { 200, "{\"ready\":true}\n", Outcome::Answered, 0, {} };
        co_return co_await respond(request, std::move(ready));
    }
    const Result<void> identified = identify(request);
    if (!identified) {
        co_return co_await refuse(request, identified.error());
    }
    if (!target.starts_with(internal::LocatePrefix)) {
        const Error noSuchPage { ErrorKind::NotFound, "no such page" };
        co_return co_await refuse(request, noSuchPage);
    }
    const ServiceName service(std::string(target.substr(internal::LocatePrefix.size())));
    const Result<std::string> located = m_context.locate(service, request.account);
    if (!located) {
        co_return co_await refuse(request, located.error());
    }
    LocalResponse response { 200, *located, Outcome::Answered, 0, {} };
    response.fields.emplace_back("X-Once-Token", toString(m_context.atMostOnceState->token(Clock::now())));
    co_return co_await respond(request, std::move(response));
}

} // namespace mulberryplank
