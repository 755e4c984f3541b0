#include "mulberryplank/net/callerserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "mulberryplank/net/callersession.h"
#include "mulberryplank/net/socketoptions.h"

namespace mulberryplank
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace internal
{

constexpr Duration AcceptRetryDelay = Millis(50);

// Runs one session; its memory is the coroutine's.
DataAwaitable<void> runSession(DataSocket socket, Worker &worker, CallerContext &context)
{
    CallerSession session(std::move(socket), worker, context);
    co_await session.run();
}

// Tells a caller beyond the limit to come back, without reading anything from it.
void rejectConnection(DataSocket &socket)
{
    const LocalResponse response = errorResponseFor(ErrorKind::TooManyConnections, Outcome::NotRun, 1, "", "");
    const std::string bytes = localResponseBytes(response, "", false, false);
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(bytes), ignored);
    socket.shutdown(asio::socket_base::shutdown_send, ignored);
}

} // namespace internal

CallerServer::CallerServer(Workers &workers, CallerContext &context, Endpoint listen)
    : m_workers(workers)
    , m_context(context)
    , m_listen(std::move(listen))
    , m_acceptor(workers.front()->context)
{
}

void CallerServer::start()
{
    listenAt(m_acceptor, m_listen);
    acceptNext();
}

Endpoint CallerServer::address() const
{
    return Endpoint { m_listen.host, m_acceptor.local_endpoint().port() };
}

void CallerServer::stopAccepting()
{
    asio::post(m_workers.front()->context, [this] {
        error_code ignored;
        m_acceptor.close(ignored);
    });
}

void CallerServer::acceptNext()
{
    Worker &worker = *m_workers[m_next++ % m_workers.size()];
    m_acceptor.async_accept(worker.context, [this, &worker](error_code error, DataSocket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (error) {
            // Out of file descriptors, usually: trying again at once would only spin.
            auto retryTimer = std::make_shared<DataTimer>(m_workers.front()->context);
            retryTimer->expires_after(internal::AcceptRetryDelay);
            retryTimer->async_wait([this, retryTimer](error_code waitError) {
                if (!waitError && m_acceptor.is_open()) {
                    acceptNext();
                }
            });
            return;
        }
        serve(std::move(socket), worker);
        acceptNext();
    });
}

void CallerServer::serve(DataSocket socket, Worker &worker)
{
    if (m_context.counters.connections >= m_context.limits.connections) {
        internal::rejectConnection(socket);
        return;
    }
    // The session is made on its own worker's thread: nothing of it may be touched by this one.
    asio::post(worker.context, [this, &worker, moved = std::move(socket)]() mutable {
        asio::co_spawn(worker.context, internal::runSession(std::move(moved), worker, m_context), asio::detached);
    });
}

} // namespace mulberryplank
