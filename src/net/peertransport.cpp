#include "mulberryplank/net/peertransport.h"

#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/clock.h"
#include "peertransportprivate.h"

namespace mulberryplank
{

namespace
{

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;
using internal::PeerConnection;

// Larger than any datagram, so that an oversized datagram is detected and not truncated.
constexpr std::size_t ReceiveBufferSize = 65'536;

constexpr int MaxPortAttempts = 20;

} // namespace

// A port that the system selected for UDP may be in use for TCP. In that case another port is tried. A configured port
// is never replaced.
void PeerTransport::Private::bind()
{
    error_code error = bindPort();
    for (int attempts = 1; error && settings.listen.port == 0 && attempts < MaxPortAttempts; ++attempts) {
        error = bindPort();
    }
    if (error) {
        throw boost::system::system_error(error, "bind " + toString(settings.listen));
    }
    if (settings.advertised.host.empty()) {
        settings.advertised = settings.listen;
    }
    if (settings.advertised.port == 0) {
        settings.advertised.port = acceptor.local_endpoint().port();
    }
}

error_code PeerTransport::Private::bindPort()
{
    error_code error;
    datagrams.close(error);
    acceptor.close(error);
    const auto address = boost::asio::ip::make_address(settings.listen.host);
    datagrams.open(address.is_v4() ? udp::v4() : udp::v6());
    datagrams.bind({ address, settings.listen.port }, error);
    if (error) {
        return error;
    }
    datagrams.non_blocking(true);
    const tcp::endpoint tcpEndpoint { address, datagrams.local_endpoint().port() };
    acceptor.open(tcpEndpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(tcpEndpoint, error);
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    return error;
}

void PeerTransport::Private::refuse(const std::string &from, const std::string &reason)
{
    const std::optional<std::uint64_t> unlogged = refusals.pass(Clock::now());
    if (unlogged && events) {
        events(Event::PeerRefused, { { "from", from }, { "reason", reason }, { "unlogged_before", *unlogged } });
    }
}

PeerEnvelope PeerTransport::Private::envelope(PeerChannel channel,
                                              PeerKind kind,
                                              std::string destination,
                                              std::string payload) const
{
    PeerEnvelope result;
    result.channel = channel;
    result.kind = kind;
    result.vm = settings.vm;
    result.incarnation = settings.incarnation;
    result.from = settings.advertised;
    result.destination = std::move(destination);
    result.payload = std::move(payload);
    return result;
}

bool PeerTransport::Private::dropped(const Endpoint &peer, bool outgoing) const
{
    return dropHook && *dropHook && (*dropHook)(peer, outgoing);
}

awaitable<void> PeerTransport::Private::receiveDatagrams(std::shared_ptr<Private> self)
{
    std::string buffer(ReceiveBufferSize, '\0');
    while (self->running) {
        udp::endpoint from;
        error_code error;
        const std::size_t size = co_await datagrams.async_receive_from(
            boost::asio::buffer(buffer), from, redirect_error(use_awaitable, error));
        if (!running) {
            co_return;
        }
        // An error here was caused by a datagram sent to a closed port and doesn't concern this socket.
        if (!error) {
            received += size;
            handleDatagram(std::string_view(buffer).substr(0, size), from);
        }
    }
}

// Replays of an authentic datagram: at the same process the replay guard drops them, and at another address the
// destination doesn't match. One case remains: a process that was restarted at the same address receives a datagram for
// its predecessor. Datagrams therefore carry only statements that are bound to an incarnation and a counter or an
// offset (gossip, pushed edits, evidence). In this case those are stale or already known. Messages that must not be
// repeated are sent as calls.
void PeerTransport::Private::handleDatagram(std::string_view bytes, const udp::endpoint &from)
{
    const auto fromText = [&from] {
        return from.address().to_string() + ":" + std::to_string(from.port());
    };
    if (bytes.size() > settings.maxDatagram) {
        return refuse(fromText(), "datagram too large");
    }
    const auto message = unseal(bytes, settings.fleetKeys);
    if (!message) {
        return refuse(fromText(), message.error().detail);
    }
    if (message->channel != PeerChannel::Datagram || message->destination != toString(settings.advertised)) {
        return refuse(fromText(), "meant for another receiver");
    }
    if (dropped(message->from, false)) {
        return;
    }
    if (!replays.accept(message->incarnation, message->sequence)) {
        return refuse(fromText(), "replayed");
    }
    const auto handler = datagramHandlers.find(message->kind);
    if (handler != datagramHandlers.end()) {
        handler->second({ message->vm, message->incarnation, message->from }, message->payload);
    }
}

PeerTransport::PeerTransport(boost::asio::io_context &context, PeerTransportSettings settings, EventSink events)
    : m_d(std::make_shared<Private>(context, std::move(settings), std::move(events)))
{
    m_d->dropHook = &dropHook;
    if (m_d->settings.fleetKeys.empty()) {
        throw std::invalid_argument("at least one fleet key is required");
    }
}

PeerTransport::~PeerTransport()
{
    stop();
    m_d->dropHook = nullptr;
}

void PeerTransport::onDatagram(PeerKind kind, DatagramHandler handler)
{
    m_d->datagramHandlers[kind] = std::move(handler);
}

void PeerTransport::onCall(PeerKind kind, CallHandler handler)
{
    m_d->callHandlers[kind] = std::move(handler);
}

void PeerTransport::onUpgrade(PeerKind kind, UpgradeHandler handler)
{
    m_d->upgradeHandlers[kind] = std::move(handler);
}

void PeerTransport::start()
{
    m_d->bind();
    m_d->running = true;
    boost::asio::co_spawn(m_d->context, m_d->receiveDatagrams(m_d), boost::asio::detached);
    boost::asio::co_spawn(m_d->context, m_d->acceptCalls(m_d), boost::asio::detached);
}

void PeerTransport::stop()
{
    m_d->running = false;
    error_code ignored;
    m_d->datagrams.close(ignored);
    m_d->acceptor.close(ignored);
    for (PeerConnection &connection : m_d->connections) {
        connection.close();
    }
    // The owners of the handlers may be destroyed after this returns.
    m_d->datagramHandlers.clear();
    m_d->callHandlers.clear();
    m_d->upgradeHandlers.clear();
    m_d->events = {};
}

Result<void> PeerTransport::send(const Endpoint &to, PeerKind kind, std::string_view payload)
{
    PeerEnvelope message = m_d->envelope(PeerChannel::Datagram, kind, toString(to), std::string(payload));
    message.sequence = m_d->nextSequence++;
    const std::string bytes = seal(message, m_d->settings.fleetKeys.front());
    if (bytes.size() > m_d->settings.maxDatagram) {
        return failure(ErrorKind::BodyTooLarge, "payload exceeds the maximum datagram size");
    }
    if (m_d->dropped(to, true)) {
        return {};
    }
    error_code error;
    const auto address = boost::asio::ip::make_address(to.host, error);
    if (!error) {
        m_d->datagrams.send_to(boost::asio::buffer(bytes), { address, to.port }, 0, error);
    }
    if (error) {
        return failure(ErrorKind::ConnectFailed, error.message());
    }
    m_d->sent += bytes.size();
    return {};
}

void PeerTransport::setFleetKeys(std::vector<std::string> keys)
{
    if (keys.empty()) {
        throw std::invalid_argument("at least one fleet key is required");
    }
    m_d->settings.fleetKeys = std::move(keys);
    if (m_d->events) {
        m_d->events(Event::FleetKeyChanged, { { "keys", m_d->settings.fleetKeys.size() } });
    }
}

Endpoint PeerTransport::advertised() const
{
    return m_d->settings.advertised;
}

std::size_t PeerTransport::maxDatagramPayload() const
{
    return m_d->settings.maxDatagram - sealedSizeBound(0);
}

std::uint64_t PeerTransport::bytesSent() const
{
    return m_d->sent;
}

std::uint64_t PeerTransport::bytesReceived() const
{
    return m_d->received;
}

} // namespace mulberryplank
