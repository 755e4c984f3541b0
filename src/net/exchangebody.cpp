#include "mulberryplank/net/exchange.h"

#include "exchangeattemptstate.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

constexpr std::size_t ResponsePieceSize = 16 * 1024;

} // namespace internal

void Exchange::beginResponse(const AttemptState &source)
{
    const int minorVersion = static_cast<int>(m_request.parser->get().version()) - 10;
    m_responseStarted = true;
    m_framing = callerFraming(source.header, minorVersion);
    // The unread part of the request's body would be parsed as the next request.
    if (m_framing == CallerFraming::UntilClose || !m_request.bodyComplete) {
        m_request.keepAlive = false;
    }
    m_unwritten = callerResponseHeader(*source.parser, m_framing, m_request.id, m_request.keepAlive);
    if (m_stored) {
        m_stored->status = source.header.body.status;
        m_stored->headers = fieldsToStore(*source.parser);
    }
}

void Exchange::store(std::string_view piece)
{
    if (!m_stored) {
        return;
    }
    if (m_stored->body.size() + piece.size() > m_request.maxStoredResponseBytes) {
        m_stored.reset();
        if (m_callerDisconnected) {
            handleCallerDisconnect();
        }
        return;
    }
    m_stored->body += piece;
}

// Writes the pending output and a piece of the body; `last` ends the body. Returns false when the exchange has ended,
// for instance because the caller disconnected.
DataAwaitable<bool> Exchange::writeToCaller(std::string_view piece, bool last)
{
    const bool chunked = m_framing == CallerFraming::Chunked;
    if (!piece.empty()) {
        m_unwritten += chunked ? chunkBytes(piece) : std::string(piece);
    }
    if (last && chunked) {
        m_unwritten += chunkBytes({});
    }
    if (m_unwritten.empty() || m_callerDisconnected) {
        m_unwritten.clear();
        co_return !m_plan.done();
    }
    HttpStream &caller = *m_request.caller;
    caller.expiresAt(Clock::now() + m_context.limits.writeTimeout);
    const boost::system::error_code error = co_await caller.write(asio::buffer(m_unwritten));
    caller.expiresNever();
    m_context.counters.bytesToCallers += m_unwritten.size();
    m_unwritten.clear();
    if (error) {
        handleCallerDisconnect();
    }
    co_return !m_plan.done();
}

DataAwaitable<void> Exchange::forwardPiece(AttemptPtr source, BodyPiece piece)
{
    if (piece.error) {
        onAttemptFailed(*source,
                        piece.error == boost::beast::http::error::partial_message ? AttemptResult::Truncated
                                                                                  : AttemptResult::Reset);
        co_return;
    }
    const std::uint64_t accepted = m_plan.onBody(source->number, piece.size);
    const std::string_view data(m_buffer.data(), accepted);
    store(data);
    // The end of a chunked body is written only after the plan has confirmed that the body is complete. A body with a
    // length needs no end marker, so its last piece may be written together with the pending output.
    const bool deferEnd = piece.last && m_framing == CallerFraming::Chunked;
    if (!deferEnd || accepted > 0) {
        const bool written = co_await writeToCaller(data, false);
        if (!written) {
            co_return;
        }
    }
    if (source->cancelled) {
        co_return;
    }
    apply(m_plan.onForwarded(source->number, Clock::now()));
    if (piece.last && !source->cancelled) {
        apply(m_plan.onBodyEnd(source->number, Clock::now()));
        if (m_end && m_end->kind == StepKind::Finish) {
            co_await writeToCaller(std::string_view(), true);
        }
    }
}

DataAwaitable<void> Exchange::forwardBody()
{
    const AttemptPtr source = m_bodySource;
    if (!m_responseStarted) {
        beginResponse(*source);
        // A header without any available body is written at once. Otherwise header and body are written together.
        const bool bodyAvailable = !source->parser->is_done() && source->connection->stream.buffer().size() > 0;
        if (!bodyAvailable) {
            const bool written = co_await writeToCaller(std::string_view(), false);
            if (!written) {
                co_return;
            }
        }
        apply(m_plan.onForwarded(source->number, Clock::now()));
    }
    m_buffer.resize(internal::ResponsePieceSize);
    while (!m_end && m_bodySource == source && !source->cancelled) {
        const BodyPiece piece = co_await source->connection->stream.readBody(*source->parser, asio::buffer(m_buffer));
        if (source->cancelled) {
            co_return;
        }
        co_await forwardPiece(source, piece);
    }
}

} // namespace mulberryplank
