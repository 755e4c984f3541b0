#pragma once

#include "mulberryplank/net/gatewaysession.h"

namespace mulberryplank
{

// Accepts callers' connections for a gateway. Runs on the context's worker.
class GatewayServer
{
public:
    GatewayServer(GatewayContext &context, Endpoint listen);
    GatewayServer(const GatewayServer &) = delete;
    GatewayServer &operator=(const GatewayServer &) = delete;

    // Binds the address and begins to accept. Throws boost::system::system_error when the address can't be bound.
    void start();

    // Returns the address that is bound: of use when port 0 was asked for.
    Endpoint address() const;

private:
    using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, DataExecutor>;

    DataAwaitable<void> acceptAll();

    GatewayContext &m_context;
    Endpoint m_listen;
    Acceptor m_acceptor;
};

} // namespace mulberryplank
