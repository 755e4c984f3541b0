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
// How long the process waits until the requests that it ends have their responses.
constexpr Duration ResponseMargin = Millis(100);

} // namespace internal

// Starts the drain. A repeated SIGTERM doesn't change it. A further request of an operator or SIGINT, which a person
// sends, ends the requests in progress at once, each with a response.
void ProxyProcess::stop(StopRequest request)
{
    if (m_draining) {
        m_endsEarly = m_endsEarly || request == StopRequest::Operator;
        m_events(Event::StopRepeated,
                 { { "vm", m_settings.vm.value() },
                   { "in_flight", m_callers.counters.requests.load() },
                   { "detail", m_endsEarly ? "ends now" : "goes on" } });
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
    while (!m_endsEarly && !plan.isFinished({ callers.requests, callers.connections, 0 }, Clock::now())) {
        if (plan.isClosing(Clock::now())) {
            closeIdleCallers();
        }
        timer.expires_after(internal::DrainPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    m_shares->leave(Clock::now());
    const std::uint64_t aborted = callers.requests;
    if (aborted > 0) {
        closeIdleCallers();
        endRequests();
        timer.expires_after(internal::ResponseMargin);
        co_await timer.async_wait(asio::use_awaitable);
    }
    finishDrain(aborted);
}

void ProxyProcess::endRequests()
{
    for (const std::unique_ptr<Worker> &worker : m_workers) {
        asio::post(worker->context, [&running = worker->running] {
            running.endAll();
        });
    }
}

// `aborted`: the requests that were ended before their targets' responses.
void ProxyProcess::finishDrain(std::uint64_t aborted)
{
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
