#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

// Lets one coroutine at a time do something. Those that wait go on in no order. Belongs to the thread that runs the
// io_context, which must outlive it.
class Turn
{
public:
    explicit Turn(boost::asio::io_context &context);
    Turn(const Turn &) = delete;
    Turn &operator=(const Turn &) = delete;

    // Waits until nobody has the turn, and takes it.
    boost::asio::awaitable<void> take();

    // Gives the turn back. Whoever took it must call this once.
    void release();

    bool isTaken() const;

private:
    bool m_taken = false;
    Timer m_released; // cancelled with each release
};

} // namespace mulberryplank
