#include "mulberryplank/net/targettunnel.h"

#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/intrusive/list.hpp>
#include <cereal/types/string.hpp>

#include "mulberryplank/net/cerealcodec.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/socketoptions.h"
#include "mulberryplank/net/streamframes.h"

namespace mulberryplank
{

namespace asio = boost::asio;
using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

namespace internal
{

namespace
{

constexpr std::size_t TunnelPieceSize = 16 * 1024; // bytes

// Ends a connection with a reset, as its other end would see it without a tunnel.
void abort(tcp::socket &socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

void close(tcp::socket &socket)
{
    error_code ignored;
    socket.close(ignored);
}

} // namespace

} // namespace internal

template<typename Archive>
void save(Archive &archive, const TunnelRequest &request)
{
    archive(request.target.value());
}

template<typename Archive>
void load(Archive &archive, TunnelRequest &request)
{
    std::string target;
    archive(target);
    request.target = TargetName(std::move(target));
}

std::string encode(const TunnelRequest &request)
{
    return cerealEncode(request);
}

Result<TunnelRequest> decodeTunnelRequest(std::string_view bytes)
{
    return cerealDecode<TunnelRequest>(bytes);
}

// Two joined connections. Kept alive by the coroutines that copy data.
class TunnelServer::Tunnel
    : public std::enable_shared_from_this<TunnelServer::Tunnel>,
      public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    Tunnel(PeerTransport::SocketPtr peer, PeerTransport::SocketPtr target, TunnelFormat format, ReachedHook noteReached)
        : m_peer(std::move(peer))
        , m_target(std::move(target))
        , m_format(format)
        , m_noteReached(std::move(noteReached))
    {
    }

    void start(asio::io_context &context)
    {
        asio::co_spawn(context, copyToTarget(shared_from_this()), asio::detached);
        asio::co_spawn(context, copyToPeer(shared_from_this()), asio::detached);
    }

    void abortAll()
    {
        internal::abort(*m_peer);
        internal::abort(*m_target);
    }

private:
    // The requesting gateway closes its connection when it no longer needs the response, so the target's ends as well.
    awaitable<void> copyToTarget(std::shared_ptr<Tunnel> /*keepAlive*/)
    {
        const error_code error = co_await copyRequests();
        if (error != asio::error::eof) {
            abortAll();
            co_return;
        }
        internal::close(*m_target);
        internal::close(*m_peer);
    }

    awaitable<void> copyToPeer(std::shared_ptr<Tunnel> /*keepAlive*/)
    {
        const error_code error = co_await copyResponses();
        if (error == asio::error::connection_reset && m_awaitsResponse) {
            noteReached(false);
        }
        if (error == asio::error::eof) {
            error_code ignored;
            if (m_format == TunnelFormat::Framed) {
                const auto end = frameHeader(0);
                co_await asio::async_write(*m_peer, asio::buffer(end), redirect_error(use_awaitable, ignored));
            }
            m_peer->shutdown(tcp::socket::shutdown_send, ignored);
        } else {
            internal::abort(*m_peer);
        }
        internal::close(*m_target);
    }

    // Copies the requests until an end of either connection, and returns how it ended.
    awaitable<error_code> copyRequests()
    {
        error_code error;
        while (!error) {
            const std::string piece = co_await read(*m_peer, error);
            if (error) {
                break;
            }
            m_awaitsResponse = true;
            co_await asio::async_write(*m_target, asio::buffer(piece), redirect_error(use_awaitable, error));
        }
        co_return error;
    }

    // As copyRequests(), with the responses.
    awaitable<error_code> copyResponses()
    {
        error_code error;
        while (!error) {
            const std::string piece = co_await read(*m_target, error);
            if (error) {
                break;
            }
            m_awaitsResponse = false;
            noteReached(true);
            const auto header = frameHeader(piece.size());
            const std::size_t headerSize = m_format == TunnelFormat::Framed ? header.size() : 0;
            const std::array<asio::const_buffer, 2> buffers { asio::buffer(header, headerSize), asio::buffer(piece) };
            co_await asio::async_write(*m_peer, buffers, redirect_error(use_awaitable, error));
        }
        co_return error;
    }

    // Waits for data and returns it. An idle tunnel has no buffer.
    static awaitable<std::string> read(tcp::socket &from, error_code &error)
    {
        std::string piece;
        co_await from.async_wait(tcp::socket::wait_read, redirect_error(use_awaitable, error));
        if (!error) {
            piece.resize(internal::TunnelPieceSize);
            piece.resize(co_await from.async_read_some(asio::buffer(piece), redirect_error(use_awaitable, error)));
        }
        co_return piece;
    }

    void noteReached(bool reached)
    {
        if (const ReachedHook hook = std::exchange(m_noteReached, {})) {
            hook(reached);
        }
    }

    PeerTransport::SocketPtr m_peer;
    PeerTransport::SocketPtr m_target;
    TunnelFormat m_format;
    ReachedHook m_noteReached; // empty once it was called
    bool m_awaitsResponse = false; // the last data was sent to the target
};

struct TunnelServer::TunnelList {
    boost::intrusive::list<Tunnel, boost::intrusive::constant_time_size<false>> open;
};

TunnelServer::TunnelServer(asio::io_context &context, TunnelSettings settings, TunnelHooks hooks)
    : m_context(context)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_tunnels(std::make_unique<TunnelList>())
{
}

TunnelServer::~TunnelServer()
{
    for (Tunnel &tunnel : m_tunnels->open) {
        tunnel.abortAll();
    }
}

awaitable<Result<PeerTransport::SocketReceiver>> TunnelServer::open(std::string payload, TunnelFormat format)
{
    const Result<TunnelRequest> request = decodeTunnelRequest(payload);
    if (!request) {
        co_return tl::make_unexpected(request.error());
    }
    if (count() >= m_settings.maxTunnels) {
        co_return failure(ErrorKind::TooManyConnections, "too many tunnels");
    }
    const Result<Endpoint> endpoint = m_hooks.locate(request->target);
    if (!endpoint) {
        co_return tl::make_unexpected(endpoint.error());
    }
    error_code error;
    const auto address = asio::ip::make_address(endpoint->host, error);
    if (error) {
        co_return failure(ErrorKind::NoTarget, toString(*endpoint) + ": " + error.message());
    }
    const auto target = std::make_shared<PeerTransport::SocketPtr>(std::make_unique<tcp::socket>(m_context));
    Timer limit(m_context, m_settings.connectTime);
    limit.async_wait([target](const error_code &expired) {
        if (!expired && *target) {
            internal::close(**target);
        }
    });
    const Instant openedAt = Clock::now();
    const tcp::endpoint to(address, endpoint->port);
    co_await (*target)->async_connect(to, redirect_error(use_awaitable, error));
    limit.cancel();
    if (error) {
        m_hooks.noteConnection(request->target, false, openedAt);
        co_return failure(ErrorKind::NoTarget, toString(*endpoint) + ": " + error.message());
    }
    setConnectionOptions(**target, DataKeepalive);
    const ReachedHook noteReached = [this, name = request->target, openedAt](bool reached) {
        m_hooks.noteConnection(name, reached, openedAt);
    };
    co_return PeerTransport::SocketReceiver([this, target, format, noteReached](PeerTransport::SocketPtr peer) {
        setConnectionOptions(*peer, DataKeepalive);
        join(std::move(peer), std::move(*target), format, noteReached);
    });
}

void TunnelServer::join(PeerTransport::SocketPtr peer,
                        PeerTransport::SocketPtr target,
                        TunnelFormat format,
                        ReachedHook noteReached)
{
    const auto tunnel = std::make_shared<Tunnel>(std::move(peer), std::move(target), format, std::move(noteReached));
    m_tunnels->open.push_back(*tunnel);
    tunnel->start(m_context);
}

std::size_t TunnelServer::count() const
{
    return m_tunnels->open.size();
}

awaitable<Result<OpenedTunnel>> openTunnel(PeerTransport &peers, Endpoint relay, TargetName target, Duration timeout)
{
    const std::string request = encode(TunnelRequest { std::move(target) });
    Result<PeerTransport::SocketPtr> socket = co_await peers.upgrade(relay, PeerKind::FramedTunnel, request, timeout);
    InputEnd inputEnd = InputEnd::Frame;
    // Also the response of a gateway that doesn't know the kind of call.
    if (!socket && socket.error().kind == ErrorKind::NotFound) {
        socket = co_await peers.upgrade(relay, PeerKind::Tunnel, request, timeout);
        inputEnd = InputEnd::Unknown;
    }
    if (!socket) {
        co_return tl::make_unexpected(socket.error());
    }
    co_return OpenedTunnel { std::move(*socket), inputEnd };
}

} // namespace mulberryplank
