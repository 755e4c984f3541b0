#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Ends after `span`. The io_context must outlive it.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context &context, Duration span);

} // namespace mulberryplank
