#include "slots.h"

namespace standin
{

Slots::Slots(asio::io_context &context, std::size_t count, std::size_t queueLimit)
    : m_context(context)
    , m_count(count)
    , m_queueLimit(queueLimit)
{
}

asio::awaitable<Admission> Slots::acquire(Connection &connection, Instant deadline, bool bounded)
{
    if (m_count == 0 || m_inUse < m_count) {
        ++m_inUse;
        co_return Admission::Granted;
    }
    if (bounded && m_queue.size() >= m_queueLimit) {
        co_return Admission::QueueFull;
    }
    Waiter waiter(asio::steady_timer(m_context, deadline));
    m_queue.push_back(waiter);
    const bool open = co_await connection.waitFor(waiter.timer);
    // A slot may be granted in the same event loop iteration in which the connection closes. The caller only
    // receives Closed and would never return that slot.
    if (!open && waiter.granted) {
        release();
    }
    if (!open) {
        co_return Admission::Closed;
    }
    co_return waiter.granted ? Admission::Granted : Admission::DeadlinePassed;
}

void Slots::release()
{
    if (m_queue.empty()) {
        --m_inUse;
        return;
    }
    Waiter &next = m_queue.front();
    m_queue.pop_front();
    next.granted = true;
    next.timer.cancel();
}

std::size_t Slots::inUse() const
{
    return m_inUse;
}

std::size_t Slots::count() const
{
    return m_count;
}

} // namespace standin
