#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

// Lets one coroutine at a time do something. Those that wait go on in no order. Belongs to the thread that runs the
// io_context, which must outlive it.
class AsyncMutex
{
public:
    explicit AsyncMutex(boost::asio::io_context &context);
    AsyncMutex(const AsyncMutex &) = delete;
    AsyncMutex &operator=(const AsyncMutex &) = delete;

    // Waits until nobody has the turn, and takes it.
    boost::asio::awaitable<void> lock();

    // Gives the turn back. Whoever took it must call this once.
    void unlock();

    bool isLocked() const;

private:
    bool m_locked = false;
    Timer m_unlockTimer; // cancelled with each unlock
};

} // namespace mulberryplank
