#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/base/time.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

// Types of the data path. They use the io_context's own executor instead of Asio's type-erased one, which would cost an
// allocation or an indirect call on every operation.
using DataExecutor = boost::asio::io_context::executor_type;
using DataSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, DataExecutor>;
using DataTimer = boost::asio::basic_waitable_timer<Clock, boost::asio::wait_traits<Clock>, DataExecutor>;

template<typename T>
using DataAwaitable = boost::asio::awaitable<T, DataExecutor>;

inline constexpr boost::asio::use_awaitable_t<DataExecutor> UseData {};

} // namespace mulberryplank
