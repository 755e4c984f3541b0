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

// A request of an operator, the key already checked.
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

// Returns the answer that stands for `error`.
AdminResponse adminErrorResponse(const Error &error);

// Returns the number in the query's `name=NUMBER`, or `fallback`.
std::uint64_t queryNumber(const std::string &query, const std::string &name, std::uint64_t fallback);

// HTTP for operators. Runs on one io_context that one thread runs.
class AdminServer
{
public:
    using Handler = std::function<boost::asio::awaitable<AdminResponse>(AdminRequest)>;

    // Requests need `Authorization: Bearer KEY` with one of `keys`, but for the paths in `openPaths`.
    AdminServer(boost::asio::io_context &context,
                Endpoint listen,
                std::vector<std::string> keys,
                std::vector<std::string> openPaths,
                Handler handler,
                EventSink events);
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    // Binds the address and begins to accept. Throws boost::system::system_error when the address can't be bound.
    void start();

    // Stops accepting.
    void stop();

private:
    boost::asio::awaitable<void> acceptAll();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    bool isAllowed(const std::string &path, std::string_view authorization) const;

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
