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

// What happens to a connection once a request was dealt with.
enum class ConnectionAction : std::uint8_t {
    KeepOpen, // the next request may follow, unless an answer said defaultValue
    Close, // end it in order
    Reset, // end it by a TCP reset
};

// Returns the first of `target` up to its query.
std::string_view requestPath(std::string_view target);

// Returns the number that `target`'s query gives for `key`, or `defaultValue` when there is none or it is no number.
std::uint64_t queryNumber(std::string_view target, std::string_view key, std::uint64_t defaultValue);

// Returns an answer with a JSON body.
Response jsonResponse(http::status status, const boost::json::value &body);

// Returns an answer {"error": message}.
Response errorResponse(http::status status, std::string_view message);

// One open connection of a server, with the request that is being dealt with. Used by the server's thread alone.
class Connection
{
public:
    explicit Connection(asio::ip::tcp::socket socket);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Returns the request that was read last.
    const Request &request() const;

    // Sends a whole answer. Returns false when the connection failed before all of it was handed to the system.
    asio::awaitable<bool> send(Response response);

    // Sends bytes as they are, for answers in pieces. Returns false when the connection failed.
    asio::awaitable<bool> sendRaw(asio::const_buffer bytes);

    // Waits until `timer` fires or is cancelled. Returns false when the other end closed the connection first.
    asio::awaitable<bool> waitFor(asio::steady_timer &timer);

    // Waits for `duration`; at once for none. Returns false when the other end closed the connection first.
    asio::awaitable<bool> sleep(Duration duration);

    // Waits until the other end closes the connection.
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

// An HTTP/1.1 server on one address whose connections are all dealt with by one io_context, run by one thread.
// To end it, call stop() on that thread and run the io_context until it has nothing left to do; only then destroy it.
class HttpServer
{
public:
    using Handler = std::function<asio::awaitable<ConnectionAction>(Connection &)>;

    // Binds the address; port 0 lets the system choose. Throws boost::system::system_error when it can't be bound.
    HttpServer(asio::io_context &context, const std::string &address, std::uint16_t port, Handler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Returns the port that was bound.
    std::uint16_t port() const;

    // Stops accepting and closes all connections.
    void stop();

    // Makes all connections that are open now, other than `except`, go silent for good: nothing is answered on them any
    // more.
    void makeOpenConnectionsUnresponsive(const Connection &except);

    // While true, each new connection is closed as soon as it was accepted.
    void refuseAfterAccept(bool refuse);

    // Sets the largest request body in bytes; 1 MiB unless set.
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
