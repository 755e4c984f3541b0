#include "mulberryplank/net/worker.h"

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

Worker::Worker(TargetPool::Settings poolSettings)
    : wheel(Clock::now(), Resolution)
    , pool(context.get_executor(), wheel, poolSettings)
    , m_ticker(context)
    , m_work(context.get_executor())
{
}

void Worker::run()
{
    scheduleTick();
    context.run();
}

void Worker::stop()
{
    context.stop();
}

void Worker::scheduleTick()
{
    m_ticker.expires_after(Resolution);
    m_ticker.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        const Instant now = Clock::now();
        wheel.advance(now);
        if (now >= m_nextSweep) {
            pool.sweep(now);
            m_nextSweep = now + Seconds(1);
        }
        scheduleTick();
    });
}

} // namespace mulberryplank
