#include "httpserver.h"

#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "awaitable.h"

namespace standin
{

using asio::ip::tcp;

std::string_view requestPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::uint64_t queryNumber(std::string_view target, std::string_view key, std::uint64_t defaultValue)
{
    const auto queryStart = target.find('?');
    std::string_view query = queryStart == std::string_view::npos ? std::string_view {} : target.substr(queryStart + 1);
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || pair.substr(0, equals) != key) {
            continue;
        }
        const std::string_view text = pair.substr(equals + 1);
        std::uint64_t number = 0;
        const auto end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, number);
        return parsed.ec == std::errc {} && parsed.ptr == end ? number : defaultValue;
    }
    return defaultValue;
}

Response jsonResponse(http::status status, const boost::json::value &body)
{
    Response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = boost::json::serialize(body);
    return response;
}

Response errorResponse(http::status status, std::string_view message)
{
    return jsonResponse(status, boost::json::object { { "error", message } });
}

Connection::Connection(tcp::socket socket)
    : m_socket(std::move(socket))
{
}

const Request &Connection::request() const
{
    return m_request;
}

asio::awaitable<bool> Connection::send(Response response)
{
    if (m_unresponsive) {
        co_await discardUntilClosed();
        co_return false;
    }
    response.keep_alive(m_request.keep_alive() && response.keep_alive());
    response.prepare_payload();
    if (m_request.method() == http::verb::head) {
        response.body().clear();
    }
    m_mustClose = m_mustClose || !response.keep_alive();
    const auto [error, sent] = co_await http::async_write(m_socket, response, Awaitable);
    co_return !error;
}

asio::awaitable<bool> Connection::sendRaw(asio::const_buffer bytes)
{
    if (m_unresponsive) {
        co_await discardUntilClosed();
        co_return false;
    }
    boost::system::error_code error;
    while (!error && bytes.size() > 0) {
        std::size_t sent = 0;
        std::tie(error, sent) = co_await m_socket.async_write_some(asio::buffer(bytes), Awaitable);
        bytes += sent;
    }
    co_return !error;
}

asio::awaitable<bool> Connection::waitFor(asio::steady_timer &timer)
{
    using namespace asio::experimental::awaitable_operators;
    // An unresponsive connection simulates a network path that drops all packets, so a close by the peer isn't
    // detected either.
    if (m_unresponsive) {
        co_await timer.async_wait(Awaitable);
        co_return true;
    }
    const auto first = co_await (timer.async_wait(Awaitable) || m_socket.async_wait(tcp::socket::wait_read, Awaitable));
    if (first.index() == 0) {
        co_return true;
    }
    if (closedByPeer()) {
        co_return false;
    }
    // The peer pipelined its next request, so the socket stays readable; wait for the timer only.
    co_await timer.async_wait(Awaitable);
    co_return m_socket.is_open();
}

asio::awaitable<bool> Connection::sleep(Duration duration)
{
    if (duration <= Duration::zero()) {
        co_return true;
    }
    asio::steady_timer timer(m_socket.get_executor(), duration);
    co_return co_await waitFor(timer);
}

asio::awaitable<void> Connection::waitUntilClosed()
{
    co_await discardUntilClosed();
}

asio::awaitable<bool> Connection::receive(std::size_t maxBody)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(maxBody);
    const auto [error, count] = co_await http::async_read(m_socket, m_buffer, parser, Awaitable);
    if (error == http::error::body_limit) {
        Response response(http::status::payload_too_large, 11);
        response.keep_alive(false);
        co_await send(std::move(response));
    }
    if (error) {
        co_return false;
    }
    m_request = parser.release();
    co_return true;
}

asio::awaitable<void> Connection::discardUntilClosed()
{
    std::array<char, 4096> scratch {};
    boost::system::error_code error;
    while (!error) {
        std::size_t count = 0;
        std::tie(error, count) = co_await m_socket.async_read_some(asio::buffer(scratch), Awaitable);
    }
    m_mustClose = true;
}

bool Connection::closedByPeer()
{
    if (!m_socket.is_open()) {
        return true;
    }
    char byte = 0;
    boost::system::error_code error;
    m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return static_cast<bool>(error);
}

void Connection::reset()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

HttpServer::HttpServer(asio::io_context &context, const std::string &address, std::uint16_t port, Handler handler)
    : m_handler(std::move(handler))
    , m_acceptor(context, tcp::endpoint(asio::ip::make_address(address), port))
{
    asio::co_spawn(context, accept(), asio::detached);
}

std::uint16_t HttpServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

void HttpServer::stop()
{
    m_stopped = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (Connection &connection : m_connections) {
        connection.m_socket.close(ignored);
    }
}

void HttpServer::makeOpenConnectionsUnresponsive(const Connection &except)
{
    for (Connection &connection : m_connections) {
        connection.m_unresponsive = connection.m_unresponsive || &connection != &except;
    }
}

void HttpServer::refuseAfterAccept(bool refuse)
{
    m_refuse = refuse;
}

void HttpServer::setMaxBodySize(std::size_t maxBody)
{
    m_maxBody = maxBody;
}

asio::awaitable<void> HttpServer::accept()
{
    while (!m_stopped) {
        auto [error, socket] = co_await m_acceptor.async_accept(Awaitable);
        if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
            co_return;
        }
        if (error || m_refuse) {
            continue;
        }
        asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> HttpServer::serve(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    Connection connection(std::move(socket));
    m_connections.push_back(connection);
    if (m_stopped) {
        co_return;
    }
    while (!connection.m_mustClose && co_await connection.receive(m_maxBody)) {
        if (connection.m_unresponsive) {
            co_await connection.discardUntilClosed();
            co_return;
        }
        const ConnectionAction action = co_await m_handler(connection);
        if (action == ConnectionAction::Reset) {
            connection.reset();
        }
        if (action != ConnectionAction::KeepOpen) {
            co_return;
        }
        connection.m_mustClose = connection.m_mustClose || !connection.m_request.keep_alive();
    }
    connection.m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace standin
