#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace standin
{

// Completion token that makes an operation return its error code instead of throwing it.
inline constexpr auto Awaitable = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace standin
