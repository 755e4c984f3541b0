#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "gatewayrequest.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/requestreading.h"

namespace mulberryplank
{

namespace asio = boost::asio;

// Returns the mode of a request that was read whole. A response that is too large to buffer is written while it
// arrives. When its target breaks it off, the connection is aborted, and with it go the responses to the requests
// behind it. These must not have run by then.
PipelineMode GatewaySession::modeOf(RouteKind kind)
{
    if (kind == RouteKind::LargeResponse) {
        return PipelineMode::Streaming;
    }
    return isIdempotent(kind) ? PipelineMode::Concurrent : PipelineMode::Exclusive;
}

// Adds a request that was read to those in progress.
void GatewaySession::enter(Request &request, PipelineMode mode)
{
    ++m_context.inFlight;
    request.place = m_order.add(mode);
}

// Ends a request. `keepOpen`: the connection can be used for further requests.
void GatewaySession::leave(const Request &request, bool keepOpen)
{
    --m_context.inFlight;
    if (!keepOpen && !m_order.isGone(request.place)) {
        closeBehind(request);
    }
    m_order.remove(request.place);
    if (m_order.isEmpty()) {
        return;
    }
    m_stream.expiresNever(); // the deadline of the write, which would end the requests behind
    m_readingStopped = m_readingStopped && m_order.isFull();
    wakeTurns();
    m_watch.resume();
}

// Drops and cancels the requests behind one whose response closes the connection. To the caller they count as not read.
void GatewaySession::closeBehind(const Request &request)
{
    const std::size_t dropped = m_order.close(request.place);
    if (dropped == 0) {
        return;
    }
    if (m_held) {
        m_held.reset();
        --m_context.inFlight;
    }
    m_watch.cancelAll(); // a request that is written or refused listens no longer
    wakeTurns();
}

void GatewaySession::wakeTurns()
{
    for (const Turn &turn : m_turns) {
        if (m_order.isFirst(turn.place) || m_order.isGone(turn.place)) {
            turn.signal->set();
        }
    }
}

// Waits until the responses before this one are written. Returns false if the request was dropped.
DataAwaitable<bool> GatewaySession::awaitTurn(const Request &request, std::size_t bytes)
{
    m_order.finish(request.place, bytes);
    Signal signal(m_stream.socket().get_executor());
    m_turns.push_back({ request.place, &signal });
    while (!m_order.isFirst(request.place) && !m_order.isGone(request.place)) {
        co_await signal.wait();
    }
    std::erase_if(m_turns, [&request](const Turn &turn) {
        return turn.place == request.place;
    });
    co_return m_order.isFirst(request.place);
}

// Waits until no request runs beside run().
DataAwaitable<void> GatewaySession::awaitOthers()
{
    while (m_behind > 0) {
        co_await m_behindEnded->wait();
    }
}

// Returns when the next request arrived: when its input was found, if it could not be read then, otherwise now.
Instant GatewaySession::takeArrival()
{
    const Instant arrived = m_inputSince.value_or(Clock::now());
    m_inputSince.reset();
    return arrived;
}

// Reads and starts the requests that have arrived, as far as m_order allows. Returns false if input may be left. A
// header that can't be accepted is left to run(), which refuses it once the requests before it have their responses.
bool GatewaySession::readAhead()
{
    while (!m_context.draining && !m_isLastRead && m_order.mayRead()) {
        const RequestLimits limits = GatewaySession::limits();
        const Result<bool> whole = hasRequestHeader(m_stream.buffer(), limits.headerBytes);
        if (!whole) {
            return false;
        }
        if (*whole) {
            auto request = std::make_unique<Request>(limits.headerBytes, limits.bodyBytes);
            request->arrived = takeArrival();
            request->header = takeRequestHeader(m_stream, request->parser);
            startBehind(std::move(request));
        } else if (m_stream.readAvailable() == 0) {
            return true;
        }
    }
    noteReadingStop();
    return false;
}

void GatewaySession::noteReadingStop()
{
    if (!m_stream.hasUnexpectedInput()) {
        return;
    }
    m_inputSince = m_inputSince.value_or(Clock::now());
    if (m_order.isFull() && !m_readingStopped) {
        m_readingStopped = true;
        ++m_context.readingStops;
        m_context.forward.events(Event::PipelineFull,
                                 { { "requests", m_order.size() }, { "waiting_bytes", m_order.waitingBytes() } });
    }
}

// Starts a request that was read while others are in progress, or holds it until they have their responses.
void GatewaySession::startBehind(RequestPtr request)
{
    ++m_context.pipelined;
    PipelineMode mode = PipelineMode::Exclusive;
    if (request->header) {
        readFields(*request);
        const Result<void> identified = identify(*request);
        if (identified && request->parser.is_done()) {
            mode = modeOf(request->route->kind);
        }
    }
    enter(*request, mode);
    if (mode == PipelineMode::Exclusive) {
        m_held = std::move(request);
        return;
    }
    if (!m_behindEnded) {
        m_behindEnded.emplace(m_stream.socket().get_executor());
    }
    ++m_behind;
    asio::co_spawn(m_stream.socket().get_executor(), serveBehind(this, std::move(request)), asio::detached);
}

DataAwaitable<void> GatewaySession::serveBehind(boost::intrusive_ptr<GatewaySession> self, RequestPtr request)
{
    if (self->m_order.mayStart(request->place)) {
        co_await self->serve(*request);
    } else {
        self->leave(*request, false);
    }
    --self->m_behind;
    self->m_behindEnded->set();
}

// Serves the request that waited for those before it.
DataAwaitable<bool> GatewaySession::serveHeld()
{
    const RequestPtr request = std::move(m_held);
    request->hasWaited = true;
    if (!request->header) {
        co_await refuse(*request, request->header.error(), Outcome::NotRun);
        leave(*request, false);
        co_return false;
    }
    co_return co_await serve(*request);
}

} // namespace mulberryplank
