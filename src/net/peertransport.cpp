#include "mulberryplank/net/peertransport.h"

#include <array>
#include <map>
#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/intrusive/list.hpp>

#include "mulberryplank/base/eventthrottle.h"
#include "mulberryplank/net/clock.h"
#include "peerconnection.h"

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
using internal::addLengthPrefix;
using internal::PeerConnection;

// Larger than any datagram, so that an oversized datagram is detected and not truncated.
constexpr std::size_t ReceiveBufferSize = 65'536;

// Limits the log lines for rejected messages, so that a flood of bad messages doesn't flood the log.
constexpr Seconds RefusalLogInterval { 1 };

constexpr Millis AcceptRetryDelay { 50 };

constexpr int MaxPortAttempts = 20;

// Returns the destination that binds a call to one connection. A captured signed request fits neither another receiver
// nor another connection, because the receiver generates a new nonce for each connection. Calls therefore need no
// stored sequence numbers.
std::string callDestination(const Endpoint &receiver, std::string_view nonce)
{
    std::string destination = toString(receiver);
    destination.append("#").append(nonce);
    return destination;
}

} // namespace

struct PeerTransport::Private : std::enable_shared_from_this<PeerTransport::Private> {
    Private(boost::asio::io_context &ioContext, PeerTransportSettings transportSettings, EventSink sink)
        : context(ioContext)
        , settings(std::move(transportSettings))
        , events(std::move(sink))
        , replays(settings.maxSenders)
        , datagrams(ioContext)
        , acceptor(ioContext)
    {
    }

    void bind();
    error_code bindPort();
    void refuse(const std::string &from, const std::string &reason);
    PeerEnvelope envelope(PeerChannel channel, PeerKind kind, std::string destination, std::string payload) const;
    bool dropped(const Endpoint &peer, bool outgoing) const;

    awaitable<void> receiveDatagrams(std::shared_ptr<Private> self);
    void handleDatagram(std::string_view bytes, const udp::endpoint &from);

    awaitable<void> acceptCalls(std::shared_ptr<Private> self);
    awaitable<void> handleCall(std::shared_ptr<Private> self, std::shared_ptr<PeerConnection> connection);
    awaitable<void> handleCallBody(PeerConnection &connection, PeerEnvelope request, PayloadSummary summary);
    Result<std::string> runHandler(const PeerEnvelope &request, std::string_view body);
    awaitable<Result<std::string>> exchange(std::shared_ptr<PeerConnection> connection,
                                            Endpoint to,
                                            std::string nonce,
                                            PeerKind kind,
                                            const std::string &payload,
                                            Duration bodyTimeout);

    boost::asio::io_context &context;
    PeerTransportSettings settings;
    EventSink events;
    std::function<bool(const Endpoint &, bool)> *dropHook = nullptr;
    std::map<PeerKind, DatagramHandler> datagramHandlers;
    std::map<PeerKind, CallHandler> callHandlers;
    ReplayGuard replays;
    udp::socket datagrams;
    tcp::acceptor acceptor;
    boost::intrusive::list<PeerConnection, boost::intrusive::constant_time_size<false>> connections;
    Sequence nextSequence = 1;
    std::size_t bodyBytes = 0; // of the payloads of calls in progress
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    EventThrottle refusals { RefusalLogInterval };
    bool running = false;
};

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

awaitable<void> PeerTransport::Private::acceptCalls(std::shared_ptr<Private> self)
{
    while (self->running) {
        error_code error;
        tcp::socket socket = co_await acceptor.async_accept(redirect_error(use_awaitable, error));
        if (!running) {
            co_return;
        }
        if (error) {
            // The most likely cause is a lack of file descriptors. Retrying at once would spin.
            Timer retryTimer(context, AcceptRetryDelay);
            co_await retryTimer.async_wait(redirect_error(use_awaitable, error));
            continue;
        }
        if (connections.size() >= settings.maxConnections) {
            refuse("", "too many connections");
            continue;
        }
        auto connection = std::make_shared<PeerConnection>(std::move(socket));
        connections.push_back(*connection);
        boost::asio::co_spawn(context, handleCall(self, connection), boost::asio::detached);
    }
}

awaitable<void> PeerTransport::Private::handleCall(std::shared_ptr<Private> self,
                                                   std::shared_ptr<PeerConnection> connection)
{
    connection->closeAfter(connection, self->settings.handshakeTimeout);
    const std::string nonce = internal::randomNonce();
    if (!co_await connection->write(nonce)) {
        co_return;
    }
    const auto header = co_await connection->readFrame(internal::MaxHeaderFrameSize);
    received += connection->takeReceived();
    if (!header) {
        co_return;
    }
    auto request = unseal(*header, settings.fleetKeys);
    if (!request) {
        co_return refuse(connection->peerText(), request.error().detail);
    }
    const std::string expected = callDestination(settings.advertised, nonce);
    if (request->channel != PeerChannel::Call || request->destination != expected) {
        co_return refuse(connection->peerText(), "meant for another connection");
    }
    const auto summary = decodePayloadSummary(request->payload);
    if (!summary || dropped(request->from, false)) {
        co_return;
    }
    if (summary->size > settings.maxCall || bodyBytes + summary->size > settings.maxBodies) {
        co_return refuse(connection->peerText(), "call too large");
    }
    connection->closeAfter(connection, settings.callTimeout);
    bodyBytes += summary->size;
    co_await handleCallBody(*connection, *std::move(request), *summary);
    bodyBytes -= summary->size;
    received += connection->takeReceived();
    sent += connection->takeSent();
}

awaitable<void> PeerTransport::Private::handleCallBody(PeerConnection &connection,
                                                       PeerEnvelope request,
                                                       PayloadSummary summary)
{
    const auto body = co_await connection.readBytes(summary.size);
    if (!body) {
        co_return;
    }
    if (!matches(summary, *body)) {
        co_return refuse(connection.peerText(), "payload doesn't match its signature");
    }
    const Result<std::string> outcome = runHandler(request, *body);
    const std::string &response = outcome ? *outcome : outcome.error().detail;
    PayloadSummary responseSummary = summarise(response);
    responseSummary.failed = !outcome;
    responseSummary.errorName = outcome ? "" : toString(outcome.error().kind);
    const PeerEnvelope header =
        envelope(PeerChannel::Response, request.kind, request.destination, encode(responseSummary));
    if (co_await connection.write(addLengthPrefix(seal(header, settings.fleetKeys.front())))) {
        co_await connection.write(response);
    }
}

Result<std::string> PeerTransport::Private::runHandler(const PeerEnvelope &request, std::string_view body)
{
    const auto handler = callHandlers.find(request.kind);
    if (handler == callHandlers.end()) {
        return failure(ErrorKind::NotFound, "no handler for this kind of call");
    }
    return handler->second({ request.vm, request.incarnation, request.from }, body);
}

awaitable<Result<std::string>> PeerTransport::Private::exchange(std::shared_ptr<PeerConnection> connection,
                                                                Endpoint to,
                                                                std::string nonce,
                                                                PeerKind kind,
                                                                const std::string &payload,
                                                                Duration bodyTimeout)
{
    const std::string destination = callDestination(to, nonce);
    const PeerEnvelope header = envelope(PeerChannel::Call, kind, destination, encode(summarise(payload)));
    if (!co_await connection->write(addLengthPrefix(seal(header, settings.fleetKeys.front())))
        || !co_await connection->write(payload)) {
        co_return failure(ErrorKind::PeerLost, "connection lost to " + toString(to));
    }
    const auto frame = co_await connection->readFrame(internal::MaxHeaderFrameSize);
    if (frame && bodyTimeout > Duration::zero()) {
        connection->closeAfter(connection, bodyTimeout);
    }
    if (!frame) {
        co_return failure(ErrorKind::PeerLost, "no answer from " + toString(to));
    }
    const auto response = unseal(*frame, settings.fleetKeys);
    if (!response || response->channel != PeerChannel::Response || response->destination != destination) {
        refuse(toString(to), "response is not authentic");
        co_return failure(ErrorKind::PeerLost, "response is not authentic");
    }
    const auto summary = decodePayloadSummary(response->payload);
    if (!summary || summary->size > settings.maxCall) {
        co_return failure(ErrorKind::PeerLost, "response is too large or unreadable");
    }
    auto body = co_await connection->readBytes(summary->size);
    if (!body || !matches(*summary, *body)) {
        co_return failure(ErrorKind::PeerLost, "response is incomplete");
    }
    if (summary->failed) {
        co_return failure(errorKindFromString(summary->errorName).value_or(ErrorKind::Internal), *std::move(body));
    }
    co_return *std::move(body);
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

awaitable<Result<std::string>> PeerTransport::call(
    Endpoint to, PeerKind kind, std::string payload, Duration timeout, Duration bodyTimeout)
{
    const std::shared_ptr<Private> self = m_d; // keeps the state alive if this object is destroyed first
    if (payload.size() > self->settings.maxCall) {
        co_return failure(ErrorKind::BodyTooLarge, "payload exceeds the maximum call size");
    }
    error_code error;
    const auto address = boost::asio::ip::make_address(to.host, error);
    if (error || self->dropped(to, true)) {
        co_return failure(ErrorKind::ConnectFailed, "can't reach " + toString(to));
    }
    auto connection = std::make_shared<PeerConnection>(tcp::socket(self->context));
    self->connections.push_back(*connection);
    connection->closeAfter(connection, timeout);
    const tcp::endpoint endpoint(address, to.port);
    if (!co_await connection->connect(endpoint)) {
        co_return failure(ErrorKind::ConnectFailed, "can't connect to " + toString(to));
    }
    auto nonce = co_await connection->readBytes(internal::NonceSize);
    if (!nonce) {
        co_return failure(ErrorKind::ConnectFailed, "no nonce from " + toString(to));
    }
    auto result = co_await self->exchange(connection, to, *std::move(nonce), kind, payload, bodyTimeout);
    self->sent += connection->takeSent();
    self->received += connection->takeReceived();
    co_return result;
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
