// Requests that carry an Idempotency-Key and aren't idempotent: held to one run.
#include "mulberryplank/net/callersession.h"

#include <chrono>

namespace mulberryplank
{

using Clock = std::chrono::steady_clock;

namespace internal
{

constexpr std::size_t StoredAnswerBytes = 64 * 1024;
constexpr std::string_view TokenHeader = "X-Once-Token";
constexpr std::string_view ReplayHeader = "X-Replayed";

} // namespace internal

DataAwaitable<bool> CallerSession::relayOnce(Request &request, ExchangeRequest exchange, std::string key)
{
    const auto &message = request.parser.get();
    const std::string_view method(message.method_string().data(), message.method_string().size());
    const std::uint64_t fingerprint = requestFingerprint(method, request.path, exchange.body);
    const OnceDecision decision =
        m_context.once->begin(request.account, request.service, key, fingerprint, Clock::now());
    if (decision.kind == OnceDecisionKind::ForwardTo) {
        const std::optional<Endpoint> peer = m_context.memberAddress(decision.incarnation);
        if (peer) {
            co_return co_await forwardToPeer(request, std::move(exchange), *peer);
        }
        co_return co_await answerOnceDecision(request, OnceDecision {});
    }
    if (decision.kind != OnceDecisionKind::Run) {
        co_return co_await answerOnceDecision(request, decision);
    }
    exchange.storeAnswerUpTo = internal::StoredAnswerBytes;
    const boost::intrusive_ptr<Exchange> running(new Exchange(m_worker, m_context, std::move(exchange)));
    const ExchangeEnd end = co_await running->run();
    request.bodyComplete = request.parser.is_done();
    if (end.kind == StepKind::Finish && end.stored) {
        m_context.once->finishAnswered(request.account, key, *end.stored);
    } else {
        // An answer that was too large to keep can't be given again: the repeat is told that it ran.
        const Outcome outcome = end.outcome == Outcome::NotRun ? Outcome::NotRun : Outcome::Unknown;
        m_context.once->finishFailed(request.account, key, outcome);
    }
    co_return co_await conclude(request, end);
}

DataAwaitable<bool> CallerSession::answerOnceDecision(const Request &request, const OnceDecision &decision)
{
    OwnAnswer own;
    switch (decision.kind) {
    case OnceDecisionKind::Replay:
        own.status = decision.answer->status;
        own.body = decision.answer->body;
        own.fields = decision.answer->headers;
        own.fields.emplace_back(internal::ReplayHeader, "1");
        co_return co_await answer(request, std::move(own));
    case OnceDecisionKind::InProgress:
        own =
            errorAnswerFor(ErrorKind::RepeatInProgress, Outcome::Unknown, 1, "the first one is under way", request.id);
        break;
    case OnceDecisionKind::KeyReused:
        own =
            errorAnswerFor(ErrorKind::KeyReused, Outcome::NotRun, 0, "the key stands for another request", request.id);
        break;
    case OnceDecisionKind::Full: {
        const auto wait = std::chrono::ceil<Seconds>(decision.retryAfter).count();
        own = errorAnswerFor(
            ErrorKind::RateLimited, Outcome::NotRun, static_cast<int>(wait), "too many keys", request.id);
        break;
    }
    case OnceDecisionKind::KeyRequired:
        own = errorAnswerFor(
            ErrorKind::KeyRequired, Outcome::NotRun, 0, "the key must begin with X-Once-Token", request.id);
        break;
    default:
        own = errorAnswerFor(ErrorKind::RepeatUnknown,
                             Outcome::Unknown,
                             0,
                             "the process that knows what became of this key is gone",
                             request.id);
        break;
    }
    own.fields.emplace_back(internal::TokenHeader, toString(m_context.once->token(Clock::now())));
    ++m_context.counters.refused;
    co_return co_await answer(request, std::move(own));
}

// Passes the request on to the process that alone may decide on its key. Sent once: if the answer is lost, the request
// may have run there, and the caller's next repeat is passed to the same process and gets the answer.
DataAwaitable<bool> CallerSession::forwardToPeer(Request &request, ExchangeRequest exchange, Endpoint peer)
{
    const TargetConnectionPtr connection = m_worker.pool.create();
    HttpStream &stream = connection->stream;
    stream.expiresAt(exchange.deadline.at());
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address(peer.host), peer.port);
    boost::system::error_code error = co_await stream.connect(address);
    const auto &message = request.parser.get();
    RequestHeader header = message.base();
    header.set(boost::beast::http::field::host, toString(peer));
    header.set(boost::beast::http::field::connection, "close");
    const std::string bytes = headerBytes(std::move(header)) + exchange.body;
    const bool whole = exchange.bodyComplete && !request.parser.chunked();
    if (!error && whole) {
        error = co_await stream.write(boost::asio::buffer(bytes));
    }
    ResponseParser parser;
    if (!error && whole) {
        error = co_await stream.readHeader(parser);
    }
    StoredAnswer answer;
    while (!error && whole && !parser.is_done() && answer.body.size() <= internal::StoredAnswerBytes) {
        std::array<char, 4096> buffer {};
        const BodyPiece piece = co_await stream.readBody(parser, boost::asio::buffer(buffer));
        error = piece.error;
        answer.body.append(buffer.data(), piece.size);
    }
    if (error || !whole || !parser.is_done()) {
        OwnAnswer own =
            errorAnswerFor(ErrorKind::RepeatInProgress,
                           Outcome::Unknown,
                           1,
                           "the process that decides on this key can't be reached; repeat with the same key",
                           request.id);
        ++m_context.counters.refused;
        co_return co_await this->answer(request, std::move(own));
    }
    OwnAnswer own;
    own.status = static_cast<int>(parser.get().result_int());
    own.body = std::move(answer.body);
    for (const std::string_view name : { "Content-Type", "X-Replayed", "Retry-After", "X-Once-Token" }) {
        const std::string_view value = fieldValue(parser.get(), name);
        if (!value.empty()) {
            own.fields.emplace_back(name, value);
        }
    }
    const std::string_view outcome = fieldValue(parser.get(), "X-Outcome");
    own.outcome = outcome == "answered" ? Outcome::Answered : outcome == "not-run" ? Outcome::NotRun : Outcome::Unknown;
    co_return co_await this->answer(request, std::move(own));
}

} // namespace mulberryplank
