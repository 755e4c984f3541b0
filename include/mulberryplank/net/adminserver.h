#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/event.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// A request from an operator whose key has been checked.
struct AdminRequest {
    std::string method;
    std::string path; // without the query
    std::string query;
    std::string body;
};

struct AdminResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

// Returns the response that reports `error`.
AdminResponse adminErrorResponse(const Error &error);

// Returns the number in the query's `name=NUMBER`, or `fallback` when there is none.
std::uint64_t queryNumber(const std::string &query, const std::string &name, std::uint64_t fallback);

// An HTTP server for operators. Must be used only from the one thread that runs its io_context.
class AdminServer
{
public:
    using Handler = std::function<boost::asio::awaitable<AdminResponse>(AdminRequest)>;

    // Requests need `Authorization: Bearer KEY` with one of `keys`, except for the paths in `openPaths`. The connection
    // of a request without a key ends if its body is larger than a few kilobytes.
    AdminServer(boost::asio::io_context &context,
                Endpoint listen,
                std::vector<std::string> keys,
                std::vector<std::string> openPaths,
                Handler handler,
                EventSink events);
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    // Binds the address and starts accepting. Throws boost::system::system_error when the address can't be bound.
    void start();

    // Stops accepting.
    void stop();

private:
    boost::asio::awaitable<void> acceptAll();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    bool isOpen(const std::string &path) const;
    bool hasKey(std::string_view authorization) const;

    boost::asio::io_context &m_context;
    Endpoint m_listen;
    std::vector<std::string> m_keys;
    std::vector<std::string> m_openPaths;
    Handler m_handler;
    EventSink m_events;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_connections = 0;
};

} // namespace mulberryplank
