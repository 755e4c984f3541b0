#include "mulberryplank/net/exchange.h"

#include "exchangeattemptstate.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace internal
{

// How long a request may be under way before its caller is watched. Most answers come sooner and pay nothing for it.
constexpr Duration WatchDelay = Millis(15);

} // namespace internal

// While a target works, nothing is read from or written to the caller, so a caller that has gone would be noticed only
// when the answer comes, and the target would have worked for nobody. A wait on the caller's socket notices at once.
void Exchange::startWatch()
{
    // The answer of such a request is kept for the caller's repeat: its caller's end changes nothing.
    if (m_request.outlivesCaller) {
        return;
    }
    m_worker.wheel.arm(m_watchTimer, Clock::now() + internal::WatchDelay);
}

// A run that is kept for the caller's repeat goes on as long as its answer can be kept: cancelled, its outcome would be
// unknown for ever, and the caller, whose connection broke, could neither repeat the request nor learn what came of it.
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
        boost::system::error_code ignored;
        m_request.caller->socket().cancel(ignored);
    }
}

void Exchange::watchCaller()
{
    // A body that is still being read would be noticed as closed there.
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
            // Readable without being closed: the caller's next request is there already, and nothing more can be
            // learnt without reading it.
            if (error || !self->m_request.caller->isClosedByPeer()) {
                return;
            }
            self->handleCallerDisconnect();
        });
}

} // namespace mulberryplank
