#pragma once

#include <memory>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "mulberryplank/net/callercontext.h"
#include "mulberryplank/net/worker.h"

namespace mulberryplank
{

// Accepts callers' connections and spreads them over the workers in turn.
class CallerServer
{
public:
    using Workers = std::vector<std::unique_ptr<Worker>>;

    // `workers` must not be empty; they, and `context`, must outlive the server and all sessions.
    CallerServer(Workers &workers, CallerContext &context, Endpoint listen);
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    // Binds the address and begins to accept. Throws boost::system::system_error when the address can't be bound.
    void start();

    // Stops accepting: connections that arrive later are refused by the system. Open ones go on. May be called from
    // any thread.
    void stopAccepting();

    // Returns the address that is bound: of use when port 0 was asked for.
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
