#include "mulberryplank/app/httpexchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace mulberryplank
{

namespace internal
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// A dump of a large process is the largest answer there is.
constexpr std::uint64_t LargestAnswer = 256ULL * 1024 * 1024;

http::request<http::string_body> requestOf(const HttpCall &call)
{
    http::request<http::string_body> request(http::string_to_verb(call.method), call.path, 11);
    request.set(http::field::host, toString(call.to));
    request.set(http::field::connection, "close");
    if (!call.bearer.empty()) {
        request.set(http::field::authorization, "Bearer " + call.bearer);
    }
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

// Throws boost::system::system_error when anything fails; `connected` tells whether that was before or after the
// first byte.
asio::awaitable<HttpReply> exchange(const HttpCall &call, bool &connected)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(call.timeout);
    const asio::ip::tcp::endpoint to(asio::ip::make_address(call.to.host), call.to.port);
    co_await stream.async_connect(to, asio::use_awaitable);
    connected = true;
    const http::request<http::string_body> request = requestOf(call);
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(LargestAnswer);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    co_return HttpReply { static_cast<int>(parser.get().result_int()), std::move(parser.get().body()) };
}

ErrorKind kindOf(const boost::system::system_error &problem, bool connected)
{
    if (!connected) {
        return ErrorKind::ConnectFailed;
    }
    return problem.code() == beast::error::timeout ? ErrorKind::TargetTimeout : ErrorKind::TargetReset;
}

Result<HttpReply> exchangeOverTcp(const HttpCall &call)
{
    asio::io_context context;
    bool connected = false;
    auto reply = asio::co_spawn(context, exchange(call, connected), asio::use_future);
    context.run();
    try {
        return reply.get();
    } catch (const boost::system::system_error &problem) {
        return failure(kindOf(problem, connected), toString(call.to) + ": " + problem.code().message());
    }
}

} // namespace

} // namespace internal

HttpExchange tcpExchange()
{
    return internal::exchangeOverTcp;
}

} // namespace mulberryplank
