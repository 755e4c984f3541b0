#pragma once

#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/timerwheel.h"
#include "mulberryplank/net/dataexecutor.h"
#include "mulberryplank/net/idleconnections.h"
#include "mulberryplank/net/runningrequests.h"
#include "mulberryplank/net/targetpool.h"

namespace mulberryplank
{

// The state of one data path thread. Connections to callers and targets never leave their worker, so this state needs
// no lock.
class Worker
{
public:
    explicit Worker(TargetPool::Settings poolSettings);
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    // Runs until stop(). Must be called by one thread.
    void run();

    // Ends run(). Thread-safe.
    void stop();

    // Before the context, whose destructor destroys coroutines that still hold timers of the wheel and entries of the
    // idle connections and running requests.
    TimerWheel wheel;
    IdleConnections idleCallers;
    RunningRequests running;
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
