#include "mulberryplank/net/gatewayserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>

#include "mulberryplank/net/socketoptions.h"

namespace mulberryplank
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace internal
{

namespace
{

constexpr Duration AcceptRetryDelay = Millis(50); // after an error, usually a lack of file descriptors

DataAwaitable<void> runSession(DataSocket socket, GatewayContext &context)
{
    const boost::intrusive_ptr<GatewaySession> session(new GatewaySession(std::move(socket), context));
    co_await session->run();
}

} // namespace

} // namespace internal

GatewayServer::GatewayServer(GatewayContext &context, Endpoint listen)
    : m_context(context)
    , m_listen(std::move(listen))
    , m_acceptor(context.forward.worker->context.get_executor())
{
}

void GatewayServer::start()
{
    listenAt(m_acceptor, m_listen);
    asio::co_spawn(m_context.forward.worker->context, acceptAll(), asio::detached);
}

Endpoint GatewayServer::address() const
{
    return Endpoint { m_listen.host, m_acceptor.local_endpoint().port() };
}

DataAwaitable<void> GatewayServer::acceptAll()
{
    Worker &worker = *m_context.forward.worker;
    DataTimer retryTimer(worker.context.get_executor());
    while (true) {
        error_code error;
        DataSocket socket(worker.context.get_executor());
        co_await m_acceptor.async_accept(socket, asio::redirect_error(UseData, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            ++m_context.acceptErrors;
            retryTimer.expires_after(internal::AcceptRetryDelay);
            co_await retryTimer.async_wait(asio::redirect_error(UseData, error));
        } else if (m_context.connections < m_context.maxConnections) {
            asio::co_spawn(worker.context, internal::runSession(std::move(socket), m_context), asio::detached);
        } else {
            ++m_context.connectionsRefused;
            const LocalResponse response = errorResponseFor(ErrorKind::TooManyConnections, Outcome::NotRun, 1, "", "");
            socket.non_blocking(true, error);
            socket.write_some(asio::buffer(localResponseBytes(response, "", false, false)), error);
        }
    }
}

} // namespace mulberryplank
