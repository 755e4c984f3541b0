#pragma once

#include <cstdint>

#include <boost/intrusive/list.hpp>

#include "httpserver.h"

namespace standin
{

// The result of a request for a slot.
enum class Admission : std::uint8_t {
    Granted,
    QueueFull, // the queue is full; the request did not run
    DeadlinePassed, // the deadline passed before a slot was free; the request did not run
    Closed, // the peer closed the connection; the request did not run
};

// The execution slots of a target, with a bounded FIFO queue of requests that wait for one. Thread-compatible.
class Slots
{
public:
    // `count` is the number of slots, 0 for unlimited. `queueLimit` is the maximum number of waiting requests.
    Slots(asio::io_context &context, std::size_t count, std::size_t queueLimit);
    Slots(const Slots &) = delete;
    Slots &operator=(const Slots &) = delete;

    // Waits for a slot until `deadline` at the latest. A granted slot must be returned with release(). A request that
    // isn't `bounded` may wait even when the queue is full.
    asio::awaitable<Admission> acquire(Connection &connection, Instant deadline, bool bounded);

    // Returns a slot. It passes to the first waiting request, if there is one.
    void release();

    // Returns the number of slots in use. It never exceeds count() unless the slots are unlimited.
    std::size_t inUse() const;

    // Returns the number of slots, 0 for unlimited.
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
