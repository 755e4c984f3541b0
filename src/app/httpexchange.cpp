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
constexpr std::uint64_t MaxResponseSize = 256ULL * 1024 * 1024;

http::request<http::string_body> makeHttpRequest(const HttpRequest &httpRequest)
{
    http::request<http::string_body> request(http::string_to_verb(httpRequest.method), httpRequest.path, 11);
    request.set(http::field::host, toString(httpRequest.to));
    request.set(http::field::connection, "close");
    if (!httpRequest.bearerToken.empty()) {
        request.set(http::field::authorization, "Bearer " + httpRequest.bearerToken);
    }
    request.body() = httpRequest.body;
    request.prepare_payload();
    return request;
}

// Throws boost::system::system_error when anything fails; `connected` tells whether that was before or after the
// first byte.
asio::awaitable<HttpResponse> exchange(const HttpRequest &httpRequest, bool &connected)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(httpRequest.timeout);
    const asio::ip::tcp::endpoint to(asio::ip::make_address(httpRequest.to.host), httpRequest.to.port);
    co_await stream.async_connect(to, asio::use_awaitable);
    connected = true;
    const http::request<http::string_body> request = makeHttpRequest(httpRequest);
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxResponseSize);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    co_return HttpResponse { static_cast<int>(parser.get().result_int()), std::move(parser.get().body()) };
}

ErrorKind errorKindOf(const boost::system::system_error &problem, bool connected)
{
    if (!connected) {
        return ErrorKind::ConnectFailed;
    }
    return problem.code() == beast::error::timeout ? ErrorKind::TargetTimeout : ErrorKind::TargetReset;
}

Result<HttpResponse> exchangeOverTcp(const HttpRequest &httpRequest)
{
    asio::io_context context;
    bool connected = false;
    auto response = asio::co_spawn(context, exchange(httpRequest, connected), asio::use_future);
    context.run();
    try {
        return response.get();
    } catch (const boost::system::system_error &problem) {
        return failure(errorKindOf(problem, connected), toString(httpRequest.to) + ": " + problem.code().message());
    }
}

} // namespace

} // namespace internal

HttpExchange tcpExchange()
{
    return internal::exchangeOverTcp;
}

} // namespace mulberryplank
