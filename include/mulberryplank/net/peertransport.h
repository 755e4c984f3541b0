#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/event.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/net/peerenvelope.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// The sender of a message, authenticated by its HMAC.
struct PeerSender {
    VmName vm;
    Incarnation incarnation = 0;
    Endpoint from; // where the sender listens
};

struct PeerTransportSettings {
    Endpoint listen; // UDP and TCP; port 0 selects a free one
    VmName vm;
    Incarnation incarnation = 0;
    std::vector<std::string> fleetKeys; // the first one signs, all of them verify
    std::size_t maxDatagram = 1'400; // bytes
    std::size_t maxCall = 268'435'456; // bytes
    Endpoint advertised; // the address for peers; `listen` if no host is given
    std::size_t maxConnections = 256; // calls in progress at the same time, including those of unauthenticated senders
    std::size_t maxBodies = 536'870'912; // bytes of the payloads of all calls in progress
    Millis handshakeTimeout { 2'000 }; // for the caller of a connection to authenticate itself
    Millis callTimeout { 60'000 }; // for a complete incoming call
    std::size_t maxSenders = 20'000; // whose sequence numbers are stored
};

// Signed messages between proxies: datagrams, and calls with a response over TCP. Everything runs on one io_context,
// which must be run by one thread. Messages with a bad HMAC and replayed messages are dropped and logged (PeerRefused,
// at most once a second). Data from unauthenticated senders is bounded in memory and time and never reaches a handler.
class PeerTransport
{
public:
    using DatagramHandler = std::function<void(const PeerSender &, std::string_view payload)>;
    using CallHandler = std::function<Result<std::string>(const PeerSender &, std::string_view payload)>;

    using SocketPtr = std::unique_ptr<boost::asio::ip::tcp::socket>;

    // Takes the connection of a call that was accepted as an upgrade.
    using SocketReceiver = std::function<void(SocketPtr)>;
    using UpgradeHandler =
        std::function<boost::asio::awaitable<Result<SocketReceiver>>(PeerSender, std::string payload)>;

    PeerTransport(boost::asio::io_context &context, PeerTransportSettings settings, EventSink events);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    // Set the handler for a kind of message. Must be called before start().
    void onDatagram(PeerKind kind, DatagramHandler handler);
    void onCall(PeerKind kind, CallHandler handler);
    void onUpgrade(PeerKind kind, UpgradeHandler handler);

    // Binds the sockets and starts receiving. Throws boost::system::system_error when the address can't be bound.
    void start();

    // Stops receiving and closes the sockets.
    void stop();

    // Sends a datagram, which may be lost. Payloads larger than the maximum datagram are rejected.
    Result<void> send(const Endpoint &to, PeerKind kind, std::string_view payload);

    // Calls a peer over TCP and returns its response or an error. Takes at most `timeout` until the response starts,
    // and `bodyTimeout` for the remainder. If `bodyTimeout` is zero, `timeout` covers both. A single limit would cut
    // off large responses of live peers, whose size grows with the fleet, and the call would be repeated. Errors: the
    // error that the peer's handler returned; ConnectFailed if the handler has certainly not run; PeerLost if it may
    // have run.
    boost::asio::awaitable<Result<std::string>> call(
        Endpoint to, PeerKind kind, std::string payload, Duration timeout, Duration bodyTimeout = {});

    // As call(), but the connection stays open after a success and is returned. From then on it carries what the two
    // ends write to it, and this object no longer limits its time.
    boost::asio::awaitable<Result<SocketPtr>> upgrade(Endpoint to,
                                                      PeerKind kind,
                                                      std::string payload,
                                                      Duration timeout);

    // Replaces the fleet keys: the first one signs, all of them verify. A key is changed without interruption in two
    // steps: every process gets the new key as its second key, then every process gets it as its first. Throws
    // std::invalid_argument if empty.
    void setFleetKeys(std::vector<std::string> keys);

    // Returns the address at which peers reach this process. Valid after start() has returned.
    Endpoint advertised() const;

    // Returns the maximum payload size that send() accepts.
    std::size_t maxDatagramPayload() const;

    // Return the bytes sent and received so far, to measure control traffic.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

    // Test hook: called for each outgoing and incoming datagram and call, with the address that the peer listens on.
    // The message is dropped if it returns true.
    std::function<bool(const Endpoint &peer, bool outgoing)> dropHook;

private:
    struct Private;
    std::shared_ptr<Private> m_d; // shared with running coroutines, which may outlive stop()
};

} // namespace mulberryplank
