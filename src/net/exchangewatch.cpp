#include "mulberryplank/net/exchange.h"

#include "exchangeattemptstate.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace internal
{

// How long a request runs before its caller is watched. Most responses arrive earlier and have no cost from the watch.
constexpr Duration WatchDelay = Millis(15);

} // namespace internal

// While a target works, nothing is read from or written to the caller. Without this watch a disconnected caller would
// be detected only when the response arrives, and the target would have worked in vain. A wait on the caller's socket
// detects it at once.
void Exchange::startWatch()
{
    // The response of such a request is stored for the caller's retry, so a disconnected caller changes nothing.
    if (m_request.outlivesCaller) {
        return;
    }
    m_worker.wheel.arm(m_watchTimer, Clock::now() + internal::WatchDelay);
}

// A run whose response is stored for the caller's retry continues as long as the response can be stored. If it were
// cancelled, its outcome would stay unknown. The caller, whose connection broke, could then neither repeat the request
// nor learn its outcome.
void Exchange::handleCallerDisconnect()
{
    m_callerDisconnected = true;
    if (m_request.outlivesCaller && m_stored) {
        return;
    }
    apply(m_plan.onCallerDisconnected());
    m_signal.set();
}

void Exchange::stopWatch()
{
    m_watchTimer.disarm();
    ++m_watchGeneration;
    if (m_watching) {
        m_watching = false;
        m_request.caller->cancel();
    }
}

void Exchange::watchCaller()
{
    // While the body is still being read, the read itself detects a closed connection.
    if (m_watching || !m_request.bodyComplete) {
        return;
    }
    m_watching = true;
    const std::uint64_t number = ++m_watchGeneration;
    m_request.caller->socket().async_wait(
        boost::asio::socket_base::wait_read,
        [self = boost::intrusive_ptr<Exchange>(this), number](boost::system::error_code error) {
            if (number != self->m_watchGeneration) {
                return;
            }
            self->m_watching = false;
            // The socket is readable but not closed: the caller has already sent its next request. Nothing more can be
            // detected without reading it.
            if (error || !self->m_request.caller->isClosedByPeer()) {
                return;
            }
            self->handleCallerDisconnect();
        });
}

} // namespace mulberryplank
