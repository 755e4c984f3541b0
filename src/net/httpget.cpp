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

asio::awaitable<HttpGetAnswer> httpGet(asio::io_context &context, Endpoint server, std::string path, Duration timeout)
{
    HttpGetAnswer answer;
    boost::beast::tcp_stream stream(context);
    stream.expires_after(timeout);
    const asio::ip::tcp::endpoint address(asio::ip::make_address(server.host), server.port);
    co_await stream.async_connect(address, asio::redirect_error(asio::use_awaitable, answer.error));
    if (answer.error) {
        co_return answer;
    }
    http::request<http::empty_body> request(http::verb::get, path, 11);
    request.set(http::field::host, toString(server));
    request.set(http::field::connection, "close");
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, answer.error));
    if (answer.error) {
        co_return answer;
    }
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, answer.error));
    answer.status = response.result_int();
    answer.load = std::string(response["X-Load"]);
    answer.draining = response["X-Draining"] == "1";
    answer.body = std::move(response.body());
    co_return answer;
}

} // namespace mulberryplank
