#include "mulberryplank/net/turn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

Turn::Turn(boost::asio::io_context &context)
    : m_released(context, Instant::max())
{
}

boost::asio::awaitable<void> Turn::take()
{
    while (m_taken) {
        boost::system::error_code ignored;
        co_await m_released.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    m_taken = true;
}

void Turn::release()
{
    m_taken = false;
    m_released.cancel();
}

bool Turn::isTaken() const
{
    return m_taken;
}

} // namespace mulberryplank
