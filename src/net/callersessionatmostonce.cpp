// Non-idempotent requests with an Idempotency-Key, which are never run twice.
#include "mulberryplank/net/callersession.h"

#include <chrono>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/policy/headerrules.h"

namespace mulberryplank
{

namespace internal
{

constexpr std::size_t MaxStoredResponseBytes = 64 * 1024;
constexpr std::string_view TokenHeader = "X-Once-Token";
constexpr std::string_view ReplayHeader = "X-Replayed";
// Marks a request that one proxy forwards to another. A caller that sets it only prevents the request from being
// forwarded.
constexpr std::string_view ForwardedHeader = "X-Once-Forwarded";
constexpr std::size_t MaxForwardedResponseBytes = 1024 * 1024;

// Ends the run of a key in the registry on every path, also when an exception is thrown. Otherwise every repeat would
// be rejected with RepeatInProgress until the key expires.
class AtMostOnceRun
{
public:
    AtMostOnceRun(AtMostOnceState &atMostOnceState, const AccountName &account, const std::string &key)
        : m_state(atMostOnceState)
        , m_account(account)
        , m_key(key)
    {
    }
    AtMostOnceRun(const AtMostOnceRun &) = delete;
    AtMostOnceRun &operator=(const AtMostOnceRun &) = delete;

    ~AtMostOnceRun()
    {
        if (!m_finished) {
            m_state.finishFailed(m_account, m_key, Outcome::Unknown);
        }
    }

    void finish(const ExchangeResult &end)
    {
        m_finished = true;
        if (end.kind == StepKind::Finish && end.stored) {
            m_state.finishWithResponse(m_account, m_key, *end.stored);
            return;
        }
        // A response that was too large to store can't be replayed. A repeat gets Unknown, since the request may have
        // run.
        const Outcome outcome = end.outcome == Outcome::NotRun ? Outcome::NotRun : Outcome::Unknown;
        m_state.finishFailed(m_account, m_key, outcome);
    }

private:
    AtMostOnceState &m_state;
    const AccountName &m_account;
    const std::string &m_key;
    bool m_finished = false;
};

} // namespace internal

DataAwaitable<bool> CallerSession::relayAtMostOnce(Request &request, ExchangeRequest exchange, std::string key)
{
    auto &message = request.parser.get();
    const std::string_view method(message.method_string().data(), message.method_string().size());
    const bool forwarded = !fieldValue(message, internal::ForwardedHeader).empty();
    message.erase(std::string(internal::ForwardedHeader));
    const RequestSource source = forwarded ? RequestSource::Peer : RequestSource::Caller;
    const std::uint64_t fingerprint = requestFingerprint(method, request.path, exchange.body);
    const AtMostOnceDecision decision =
        m_context.atMostOnceState->begin(request.account, request.service, key, fingerprint, Clock::now(), source);
    if (decision.kind == AtMostOnceDecisionKind::ForwardTo) {
        const std::optional<Endpoint> peer = m_context.memberAddress(decision.incarnation);
        if (peer) {
            co_return co_await forwardToPeer(request, std::move(exchange), *peer);
        }
        const AtMostOnceDecision processHasLeft;
        co_return co_await respondToDecision(request, processHasLeft);
    }
    if (decision.kind != AtMostOnceDecisionKind::Run) {
        co_return co_await respondToDecision(request, decision);
    }
    internal::AtMostOnceRun run(*m_context.atMostOnceState, request.account, key);
    exchange.maxStoredResponseBytes = internal::MaxStoredResponseBytes;
    exchange.outlivesCaller = true;
    const boost::intrusive_ptr<Exchange> running(new Exchange(m_worker, m_context, std::move(exchange)));
    const ExchangeResult end = co_await running->run();
    request.bodyComplete = request.parser.is_done();
    run.finish(end);
    co_return co_await finishRequest(request, end);
}

DataAwaitable<bool> CallerSession::respondToDecision(const Request &request, const AtMostOnceDecision &decision)
{
    LocalResponse response;
    switch (decision.kind) {
    case AtMostOnceDecisionKind::Replay:
        response.status = decision.response->status;
        response.body = decision.response->body;
        response.fields = decision.response->headers;
        response.fields.emplace_back(internal::ReplayHeader, "1");
        co_return co_await respond(request, std::move(response));
    case AtMostOnceDecisionKind::InProgress:
        response = errorResponseFor(ErrorKind::RepeatInProgress,
                                    Outcome::Unknown,
                                    1,
                                    "the first request with this key is in progress",
                                    request.id);
        break;
    case AtMostOnceDecisionKind::KeyReused:
        response = errorResponseFor(
            ErrorKind::KeyReused, Outcome::NotRun, 0, "the key was used for another request", request.id);
        break;
    case AtMostOnceDecisionKind::Full: {
        const auto wait = std::chrono::ceil<Seconds>(decision.retryAfter).count();
        response = errorResponseFor(
            ErrorKind::RateLimited, Outcome::NotRun, static_cast<int>(wait), "too many keys", request.id);
        break;
    }
    case AtMostOnceDecisionKind::KeyRequired:
        response = errorResponseFor(
            ErrorKind::KeyRequired, Outcome::NotRun, 0, "the key must begin with X-Once-Token", request.id);
        break;
    default:
        response = errorResponseFor(
            ErrorKind::RepeatUnknown, Outcome::Unknown, 0, "the process that decided on this key has left", request.id);
        break;
    }
    response.fields.emplace_back(internal::TokenHeader, toString(m_context.atMostOnceState->token(Clock::now())));
    ++m_context.counters.refused;
    co_return co_await respond(request, std::move(response));
}

// Forwards the request to the only process that may decide on its key. It is sent a single time: if the response is
// lost, the request may have run there. The caller's next repeat is forwarded to the same process and gets the
// response.
DataAwaitable<bool> CallerSession::forwardToPeer(Request &request, ExchangeRequest exchange, Endpoint peer)
{
    const TargetConnectionPtr connection = m_worker.pool.create(Clock::now());
    HttpStream &stream = connection->stream;
    boost::system::error_code error = co_await stream.connect(peer, exchange.deadline.at());

    const auto &message = request.parser.get();
    RequestHeader header = message.base();
    header.set(boost::beast::http::field::host, toString(peer));
    header.set(boost::beast::http::field::connection, "close");
    header.erase(boost::beast::http::field::expect);
    header.erase(boost::beast::http::field::transfer_encoding);
    header.set(boost::beast::http::field::content_length, std::to_string(exchange.body.size()));
    header.set(std::string(internal::ForwardedHeader), "1");
    header.set(std::string(DeadlineHeader), exchange.deadline.forTarget(Clock::now()));
    const std::string bytes = headerBytes(std::move(header)) + exchange.body;
    if (!error) {
        error = co_await stream.write(boost::asio::buffer(bytes));
    }
    ResponseParser parser;
    if (!error) {
        error = co_await stream.readHeader(parser);
    }
    StoredResponse peerResponse;
    while (!error && !parser.is_done() && peerResponse.body.size() <= internal::MaxForwardedResponseBytes) {
        std::array<char, 4096> buffer {};
        const BodyPiece piece = co_await stream.readBody(parser, boost::asio::buffer(buffer));
        error = piece.error;
        peerResponse.body.append(buffer.data(), piece.size);
    }
    if (error || !parser.is_done()) {
        LocalResponse response =
            errorResponseFor(ErrorKind::RepeatInProgress,
                             Outcome::Unknown,
                             1,
                             "the process that decides on this key can't be reached; repeat with the same key",
                             request.id);
        ++m_context.counters.refused;
        co_return co_await respond(request, std::move(response));
    }
    LocalResponse response;
    response.status = static_cast<int>(parser.get().result_int());
    response.body = std::move(peerResponse.body);
    response.fields = fieldsToStore(parser);
    const std::string_view outcome = fieldValue(parser.get(), "X-Outcome");
    response.outcome = outcome == "answered"  ? Outcome::Answered
                       : outcome == "not-run" ? Outcome::NotRun
                                              : Outcome::Unknown;
    co_return co_await respond(request, std::move(response));
}

} // namespace mulberryplank
