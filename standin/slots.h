#pragma once

#include <cstdint>

#include <boost/intrusive/list.hpp>

#include "httpserver.h"

namespace standin
{

// How a request for a slot ended.
enum class Admission : std::uint8_t {
    Granted,
    QueueFull, // the queueLimit is full: nothing was run
    DeadlinePassed, // the deadline passed first: nothing was run
    Closed, // the other end closed the connection: nothing was run
};

// The slots of a target and the short queueLimit before them, first come first served. Used by one thread.
class Slots
{
public:
    // `count` slots, 0 for unlimited, and at most `queueLimit` requests that wait for one.
    Slots(asio::io_context &context, std::size_t count, std::size_t queueLimit);
    Slots(const Slots &) = delete;
    Slots &operator=(const Slots &) = delete;

    // Waits for a slot, at most until `deadline`. What is granted has to be given back by release().
    // A request that isn't `bounded` may wait although the queueLimit is full.
    asio::awaitable<Admission> acquire(Connection &connection, Instant deadline, bool bounded);

    // Gives a slot back, to the next in queueLimit if there is one.
    void release();

    // Returns how many slots are taken; more than count() never, unless unlimited.
    std::size_t inUse() const;

    // Returns how many slots there are, 0 for unlimited.
    std::size_t count() const;

private:
    struct Waiter {
        explicit Waiter(asio::steady_timer deadlineTimer)
            : timer(std::move(deadlineTimer))
        {
        }

        asio::steady_timer timer;
        bool granted = false;
        boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> hook;
    };
    using WaitQueue =
        boost::intrusive::list<Waiter,
                               boost::intrusive::member_hook<Waiter, decltype(Waiter::hook), &Waiter::hook>,
                               boost::intrusive::constant_time_size<false>>;

    asio::io_context &m_context;
    std::size_t m_count;
    std::size_t m_queueLimit;
    std::size_t m_inUse = 0;
    WaitQueue m_queue;
};

} // namespace standin
