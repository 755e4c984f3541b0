#pragma once

#include <memory>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "mulberryplank/net/callercontext.h"
#include "mulberryplank/net/worker.h"

namespace mulberryplank
{

// Accepts callers' connections and distributes them over the workers in round-robin order.
class CallerServer
{
public:
    using Workers = std::vector<std::unique_ptr<Worker>>;

    // `workers` must not be empty. The workers and `context` must outlive the server and all sessions.
    CallerServer(Workers &workers, CallerContext &context, Endpoint listen);
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    // Binds the address and starts accepting. Throws boost::system::system_error when the address can't be bound.
    void start();

    // Stops accepting: the operating system refuses later connections. Open connections are still served. May be called
    // from any thread.
    void stopAccepting();

    // Returns the bound address, with the actual port when port 0 was requested.
    Endpoint address() const;

private:
    using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, DataExecutor>;

    void acceptNext();
    void serve(DataSocket socket, Worker &worker);

    Workers &m_workers;
    CallerContext &m_context;
    Endpoint m_listen;
    Acceptor m_acceptor;
    std::size_t m_next = 0;
};

} // namespace mulberryplank
