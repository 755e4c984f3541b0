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

    // Binds the address and starts accepting. Throws boost::system::system_error when the address can't be bound.
    void start();

    // Returns the bound address, with the actual port when port 0 was requested.
    Endpoint address() const;

private:
    using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, DataExecutor>;

    DataAwaitable<void> acceptAll();

    GatewayContext &m_context;
    Endpoint m_listen;
    Acceptor m_acceptor;
};

} // namespace mulberryplank
