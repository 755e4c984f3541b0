#include "mulberryplank/net/asyncmutex.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

AsyncMutex::AsyncMutex(boost::asio::io_context &context)
    : m_unlockTimer(context, Instant::max())
{
}

boost::asio::awaitable<void> AsyncMutex::lock()
{
    while (m_locked) {
        boost::system::error_code ignored;
        co_await m_unlockTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    m_locked = true;
}

void AsyncMutex::unlock()
{
    m_locked = false;
    m_unlockTimer.cancel();
}

bool AsyncMutex::isLocked() const
{
    return m_locked;
}

} // namespace mulberryplank
