#include "proxyprocess.h"

#include "mulberryplank/net/clock.h"
#include "mulberryplank/policy/drainplan.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
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
        // A second signal or drain request ends the process without waiting for requests in progress.
        finishDrain();
        return;
    }
    m_draining = true;
    m_events(Event::DrainStarted,
             { { "vm", m_settings.vm.value() },
               { "in_flight", m_callers.counters.requests.load() },
               { "limit_ms", m_settings.drainLimit.count() } });
    asio::co_spawn(m_control, drain(), asio::detached);
}

asio::awaitable<void> ProxyProcess::drain()
{
    const DrainPlan plan({ m_settings.locateLifetime, m_settings.drainLimit, m_settings.drainLimit }, Clock::now());
    co_await m_members->announceLeave();
    Timer timer(m_control);
    const CallerCounters &callers = m_callers.counters;
    while (!plan.isFinished({ callers.requests, callers.connections, 0 }, Clock::now())) {
        if (plan.isClosing(Clock::now())) {
            closeIdleCallers();
        }
        timer.expires_after(internal::DrainPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    m_shares->leave(Clock::now());
    finishDrain();
}

void ProxyProcess::finishDrain()
{
    const std::uint64_t aborted = m_callers.counters.requests;
    m_events(Event::DrainFinished,
             { { "vm", m_settings.vm.value() },
               { "in_flight", aborted },
               { "cut", aborted },
               { "connections", m_callers.counters.connections.load() } });
    m_exitCode = aborted == 0 ? 0 : 1;
    m_control.stop();
}

void ProxyProcess::closeIdleCallers()
{
    if (!m_callers.closing) {
        m_callers.closing = true;
        m_callerServer->stopAccepting();
    }
    for (const std::unique_ptr<Worker> &worker : m_workers) {
        asio::post(worker->context, [&idle = worker->idleCallers] {
            idle.endDelivered();
        });
    }
}

} // namespace mulberryplank
