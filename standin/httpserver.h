#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/json/value.hpp>

namespace standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Clock = std::function<Instant()>;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// What the server does with a connection when a request has been handled.
enum class ConnectionAction : std::uint8_t {
    KeepOpen, // read the next request, unless a response closed the connection
    Close, // shut it down gracefully
    Reset, // abort it by a TCP reset
};

// Returns the path of the request target `target`, without its query.
std::string_view requestPath(std::string_view target);

// Returns the numeric value of `key` in the query of `target`, or `defaultValue` when it is missing or not a number.
std::uint64_t queryNumber(std::string_view target, std::string_view key, std::uint64_t defaultValue);

// Returns a response with a JSON body.
Response jsonResponse(http::status status, const boost::json::value &body);

// Returns a response with the JSON body {"error": message}.
Response errorResponse(http::status status, std::string_view message);

// An open connection of a server, with the request that is being handled. Must be used by the server's thread only.
class Connection
{
public:
    explicit Connection(asio::ip::tcp::socket socket);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Returns the request that was received last.
    const Request &request() const;

    // Sends a complete response. Returns false when the connection failed before all of it was passed to the operating
    // system.
    asio::awaitable<bool> send(Response response);

    // Sends raw bytes, for responses that are sent in chunks. Returns false when the connection failed.
    asio::awaitable<bool> sendRaw(asio::const_buffer bytes);

    // Waits until `timer` expires or is cancelled. Returns false when the peer closed the connection first.
    asio::awaitable<bool> waitFor(asio::steady_timer &timer);

    // Waits for `duration`; returns at once when it is zero. Returns false when the peer closed the connection first.
    asio::awaitable<bool> sleep(Duration duration);

    // Reads and discards data until the peer closes the connection.
    asio::awaitable<void> waitUntilClosed();

private:
    friend class HttpServer;

    asio::awaitable<bool> receive(std::size_t maxBody);
    asio::awaitable<void> discardUntilClosed();
    bool closedByPeer();
    void reset();

    asio::ip::tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    Request m_request;
    bool m_mustClose = false;
    bool m_unresponsive = false;

public:
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> hook;
};

// An HTTP/1.1 server on one address. All its connections are handled by one io_context, which is run by one thread.
// To shut it down, call stop() on that thread and run the io_context until it has no work left. The server must not be
// destroyed earlier.
class HttpServer
{
public:
    using Handler = std::function<asio::awaitable<ConnectionAction>(Connection &)>;

    // Binds the address; the system chooses the port for port 0. Throws boost::system::system_error when binding fails.
    HttpServer(asio::io_context &context, const std::string &address, std::uint16_t port, Handler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Returns the bound port.
    std::uint16_t port() const;

    // Stops accepting and closes all connections.
    void stop();

    // Makes all open connections except `except` permanently unresponsive: no further response is sent on them. New
    // connections are not affected.
    void makeOpenConnectionsUnresponsive(const Connection &except);

    // While true, each new connection is closed immediately when it has been accepted.
    void refuseAfterAccept(bool refuse);

    // Sets the maximum size of a request body in bytes. The default is 1 MiB.
    void setMaxBodySize(std::size_t maxBody);

private:
    using Connections =
        boost::intrusive::list<Connection,
                               boost::intrusive::member_hook<Connection, decltype(Connection::hook), &Connection::hook>,
                               boost::intrusive::constant_time_size<false>>;

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);

    Handler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    Connections m_connections;
    std::size_t m_maxBody = std::size_t { 1 } << 20;
    bool m_refuse = false;
    bool m_stopped = false;
};

} // namespace standin
