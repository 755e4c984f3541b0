#include "proxyprocess.h"

#include "mulberryplank/net/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

constexpr Duration DrainPollInterval = Millis(20);

} // namespace internal

void ProxyProcess::startDrain()
{
    if (m_draining) {
        // The second signal: whoever sent it doesn't want to wait any longer.
        const std::uint64_t aborted = m_callers.counters.requests;
        m_events(Event::DrainFinished,
                 { { "vm", m_settings.vm.value() }, { "in_flight", aborted }, { "cut", aborted } });
        m_exitCode = aborted == 0 ? 0 : 1;
        m_control.stop();
        return;
    }
    m_draining = true;
    m_events(Event::DrainStarted,
             { { "vm", m_settings.vm.value() },
               { "in_flight", m_callers.counters.requests.load() },
               { "limit_ms", m_settings.drainLimit.count() } });
    asio::co_spawn(m_control, drain(), asio::detached);
}

// Callers keep an answer of locate for its lifetime and connect here on its strength, so the process goes on as before
// for that long; only then does it stop accepting and let its connections end.
asio::awaitable<void> ProxyProcess::drain()
{
    const Instant deadline = Clock::now() + m_settings.drainLimit;
    co_await m_members->announceLeave();
    Timer timer(m_control);
    timer.expires_after(std::min<Duration>(m_settings.locateLifetime, m_settings.drainLimit));
    co_await timer.async_wait(asio::use_awaitable);
    m_callers.closing = true;
    m_callerServer->stopAccepting();
    while (m_callers.counters.requests > 0 && Clock::now() < deadline) {
        timer.expires_after(internal::DrainPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const std::uint64_t aborted = m_callers.counters.requests;
    m_events(Event::DrainFinished, { { "vm", m_settings.vm.value() }, { "in_flight", aborted }, { "cut", aborted } });
    m_exitCode = aborted == 0 ? 0 : 1;
    m_shares->leave(Clock::now());
    m_control.stop();
}

} // namespace mulberryplank
