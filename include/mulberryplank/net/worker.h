#pragma once

#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/timerwheel.h"
#include "mulberryplank/net/dataexecutor.h"
#include "mulberryplank/net/targetpool.h"

namespace mulberryplank
{

// What one thread of the data path owns. Caller and target connections never leave their worker, so that none of this
// needs a lock.
class Worker
{
public:
    explicit Worker(TargetPool::Settings poolSettings);
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    // Runs until stop(). To be called by one thread.
    void run();

    // Ends run(). May be called from any thread.
    void stop();

    TimerWheel wheel; // before the context, whose end destroys coroutines that still hold timers of the wheel
    boost::asio::io_context context { 1 };
    TargetPool pool;

private:
    static constexpr Duration Resolution = Millis(10);

    void scheduleTick();

    DataTimer m_ticker;
    Instant m_nextSweep {};
    boost::asio::executor_work_guard<DataExecutor> m_work;
};

} // namespace mulberryplank
