#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// The answer to a GET request of ours.
struct HttpGetResponse {
    boost::system::error_code error; // set: there was no whole answer
    unsigned status = 0;
    std::string load; // X-Load
    bool draining = false; // X-Draining: 1
    std::string body;
};

// Asks for a small page over a connection of its own. Takes at most `timeout`.
boost::asio::awaitable<HttpGetResponse> httpGet(boost::asio::io_context &context,
                                                Endpoint server,
                                                std::string path,
                                                Duration timeout);

} // namespace mulberryplank
