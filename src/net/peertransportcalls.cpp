// Calls of a peer transport: signed requests over TCP with a response.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/clock.h"
#include "peertransportprivate.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

constexpr Millis AcceptRetryDelay { 50 };

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

} // namespace internal

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;
using internal::PeerConnection;

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
            Timer retryTimer(context, internal::AcceptRetryDelay);
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
    const std::string expected = internal::callDestination(settings.advertised, nonce);
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
    if (upgradeHandlers.contains(request.kind)) {
        co_return co_await handleUpgrade(connection, std::move(request), *body);
    }
    const Result<std::string> outcome = runHandler(request, *body);
    co_await respond(connection, request, outcome);
}

awaitable<void> PeerTransport::Private::handleUpgrade(PeerConnection &connection,
                                                      PeerEnvelope request,
                                                      std::string payload)
{
    const UpgradeHandler handler = upgradeHandlers[request.kind];
    const PeerSender sender { request.vm, request.incarnation, request.from };
    const Result<SocketReceiver> receiver = co_await handler(sender, std::move(payload));
    Result<std::string> outcome;
    if (!receiver) {
        outcome = tl::make_unexpected(receiver.error());
    }
    if (co_await respond(connection, request, outcome) && receiver && running) {
        (*receiver)(connection.takeSocket());
    }
}

awaitable<bool> PeerTransport::Private::respond(PeerConnection &connection,
                                                const PeerEnvelope &request,
                                                const Result<std::string> &outcome)
{
    const std::string &response = outcome ? *outcome : outcome.error().detail;
    PayloadSummary summary = summarise(response);
    summary.failed = !outcome;
    summary.errorName = outcome ? "" : toString(outcome.error().kind);
    const PeerEnvelope header = envelope(PeerChannel::Response, request.kind, request.destination, encode(summary));
    if (!co_await connection.write(internal::addLengthPrefix(seal(header, settings.fleetKeys.front())))) {
        co_return false;
    }
    co_return co_await connection.write(response);
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
    const std::string destination = internal::callDestination(to, nonce);
    const PeerEnvelope header = envelope(PeerChannel::Call, kind, destination, encode(summarise(payload)));
    if (!co_await connection->write(internal::addLengthPrefix(seal(header, settings.fleetKeys.front())))
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

// Connects to a peer and reads the nonce of the connection. Errors: ConnectFailed.
awaitable<Result<std::shared_ptr<PeerConnection>>> PeerTransport::Private::connect(std::shared_ptr<Private> self,
                                                                                   Endpoint to,
                                                                                   Duration timeout,
                                                                                   std::string &nonce)
{
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
    auto bytes = co_await connection->readBytes(internal::NonceSize);
    if (!bytes) {
        co_return failure(ErrorKind::ConnectFailed, "no nonce from " + toString(to));
    }
    nonce = *std::move(bytes);
    co_return connection;
}

awaitable<Result<std::string>> PeerTransport::call(
    Endpoint to, PeerKind kind, std::string payload, Duration timeout, Duration bodyTimeout)
{
    const std::shared_ptr<Private> self = m_d; // keeps the state alive if this object is destroyed first
    if (payload.size() > self->settings.maxCall) {
        co_return failure(ErrorKind::BodyTooLarge, "payload exceeds the maximum call size");
    }
    std::string nonce;
    const auto connected = co_await self->connect(self, to, timeout, nonce);
    if (!connected) {
        co_return tl::make_unexpected(connected.error());
    }
    const std::shared_ptr<PeerConnection> &connection = *connected;
    auto result = co_await self->exchange(connection, to, std::move(nonce), kind, payload, bodyTimeout);
    self->sent += connection->takeSent();
    self->received += connection->takeReceived();
    co_return result;
}

awaitable<Result<PeerTransport::SocketPtr>> PeerTransport::upgrade(Endpoint to,
                                                                   PeerKind kind,
                                                                   std::string payload,
                                                                   Duration timeout)
{
    const std::shared_ptr<Private> self = m_d;
    std::string nonce;
    const auto connected = co_await self->connect(self, to, timeout, nonce);
    if (!connected) {
        co_return tl::make_unexpected(connected.error());
    }
    const std::shared_ptr<PeerConnection> &connection = *connected;
    const Duration noBodyTimeout {}; // `timeout` covers the whole response
    const auto result = co_await self->exchange(connection, to, std::move(nonce), kind, payload, noBodyTimeout);
    self->sent += connection->takeSent();
    self->received += connection->takeReceived();
    if (!result) {
        co_return tl::make_unexpected(result.error());
    }
    co_return connection->takeSocket();
}

} // namespace mulberryplank
