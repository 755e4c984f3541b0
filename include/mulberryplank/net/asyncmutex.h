#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

// A mutex for coroutines. Waiting coroutines acquire it in no particular order. Must be used on the thread that runs
// the io_context, which must outlive it.
class AsyncMutex
{
public:
    explicit AsyncMutex(boost::asio::io_context &context);
    AsyncMutex(const AsyncMutex &) = delete;
    AsyncMutex &operator=(const AsyncMutex &) = delete;

    // Waits until the mutex is unlocked, and locks it.
    boost::asio::awaitable<void> lock();

    // Unlocks the mutex. Must be called exactly once after each lock().
    void unlock();

    bool isLocked() const;

private:
    bool m_locked = false;
    Timer m_unlockTimer; // cancelled by each unlock()
};

} // namespace mulberryplank
