#pragma once

#include <cstddef>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// The response to a GET request of this process.
struct HttpGetResponse {
    boost::system::error_code error; // set if no complete response was received
    unsigned status = 0;
    std::string load; // X-Load
    bool draining = false; // X-Draining: 1
    std::string body;
};

// Requests a small page over a separate connection. Takes at most `timeout`. A body of more than `maxBodyBytes` is an
// error (boost::beast::http::error::body_limit), and no more of it is kept.
boost::asio::awaitable<HttpGetResponse> httpGet(
    boost::asio::io_context &context, Endpoint server, std::string path, Duration timeout, std::size_t maxBodyBytes);

} // namespace mulberryplank
