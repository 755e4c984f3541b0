#include "mulberryplank/net/httpget.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace mulberryplank
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

asio::awaitable<HttpGetResponse> httpGet(
    asio::io_context &context, Endpoint server, std::string path, Duration timeout, std::size_t maxBodyBytes)
{
    HttpGetResponse result;
    boost::beast::tcp_stream stream(context);
    stream.expires_after(timeout);
    const asio::ip::tcp::endpoint address(asio::ip::make_address(server.host), server.port);
    co_await stream.async_connect(address, asio::redirect_error(asio::use_awaitable, result.error));
    if (result.error) {
        co_return result;
    }
    http::request<http::empty_body> request(http::verb::get, path, 11);
    request.set(http::field::host, toString(server));
    request.set(http::field::connection, "close");
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, result.error));
    if (result.error) {
        co_return result;
    }
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, result.error));
    auto &response = parser.get();
    result.status = response.result_int();
    result.load = std::string(response["X-Load"]);
    result.draining = response["X-Draining"] == "1";
    result.body = std::move(response.body());
    co_return result;
}

} // namespace mulberryplank
