#pragma once

#include <boost/asio/redirect_error.hpp>

#include "mulberryplank/net/dataexecutor.h"

namespace mulberryplank
{

// Wakes one coroutine of the same thread. A signal that is set before the wait isn't lost.
class Signal
{
public:
    explicit Signal(DataExecutor executor)
        : m_timer(executor)
    {
    }
    Signal(const Signal &) = delete;
    Signal &operator=(const Signal &) = delete;

    // Wakes the waiting coroutine, or lets the next wait() return at once.
    void set()
    {
        m_set = true;
        m_timer.cancel();
    }

    // Waits until set() is called, and resets the signal.
    DataAwaitable<void> wait()
    {
        while (!m_set) {
            boost::system::error_code ignored;
            m_timer.expires_at(Instant::max());
            co_await m_timer.async_wait(boost::asio::redirect_error(UseData, ignored));
        }
        m_set = false;
    }

private:
    DataTimer m_timer;
    bool m_set = false;
};

} // namespace mulberryplank
