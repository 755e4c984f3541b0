#include "mulberryplank/net/sleep.h"

#include "mulberryplank/net/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mulberryplank
{

boost::asio::awaitable<void> sleepFor(boost::asio::io_context &context, Duration span)
{
    Timer timer(context, span);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace mulberryplank
