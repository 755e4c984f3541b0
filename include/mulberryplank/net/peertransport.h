#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/event.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/net/peerenvelope.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Who sent a message, as proven by its HMAC.
struct PeerSender {
    VmName vm;
    Incarnation incarnation = 0;
    Endpoint from; // where the sender listens
};

struct PeerTransportSettings {
    Endpoint listen; // UDP and TCP; port 0 takes a free one
    VmName vm;
    Incarnation incarnation = 0;
    std::vector<std::string> fleetKeys; // the first one signs, all of them verify
    std::size_t maxDatagram = 1'400; // bytes
    std::size_t maxCall = 268'435'456; // bytes
    Endpoint advertised; // what peers address; `listen` if no host is given
    std::size_t maxConnections = 256; // calls being answered at the same time, strangers' included
    std::size_t maxBodies = 536'870'912; // bytes of the payloads of all calls being answered
    Millis handshakeTimeout { 2'000 }; // for a connection to show that it comes from a peer
    Millis callTimeout { 60'000 }; // for a whole call being answered
    std::size_t maxSenders = 20'000; // whose sequence numbers are remembered
};

// Signed messages between proxies: datagrams, and calls with an answer over TCP. All of it runs on one io_context,
// which must be run by one thread. Messages with a bad HMAC, or replayed ones, are dropped and logged (PeerRefused, at
// most once a second); what a stranger sends is bounded in memory and time and never reaches a handler.
class PeerTransport
{
public:
    using DatagramHandler = std::function<void(const PeerSender &, std::string_view payload)>;
    using CallHandler = std::function<Result<std::string>(const PeerSender &, std::string_view payload)>;

    PeerTransport(boost::asio::io_context &context, PeerTransportSettings settings, EventSink events);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    // Sets who handles a kind. To be called before start().
    void onDatagram(PeerKind kind, DatagramHandler handler);
    void onCall(PeerKind kind, CallHandler handler);

    // Binds the sockets and begins to receive. Throws boost::system::system_error when the address can't be bound.
    void start();

    // Stops receiving and closes the sockets.
    void stop();

    // Sends a datagram; it may be lost. Payloads beyond the largest datagram are refused.
    Result<void> send(const Endpoint &to, PeerKind kind, std::string_view payload);

    // Calls a peer over TCP and returns its answer, or what went wrong. Takes at most `timeout` until the answer
    // begins, and `bodyTimeout` for the bodyTimeout of it, or both together if that is zero: with one limit, answers
    // that grow with the fleet would be cut where nobody is gone, and asked for again. Errors: what the peer's handler
    // answered; ConnectFailed if the handler has certainly not run; PeerLost if it may have.
    boost::asio::awaitable<Result<std::string>> call(
        Endpoint to, PeerKind kind, std::string payload, Duration timeout, Duration bodyTimeout = {});

    // Replaces the fleet's keys: the first signs, all verify. A key is changed without a gap in two steps: every
    // process gets the new key as its second, then every process gets it as its first. Throws std::invalid_argument if
    // empty.
    void setFleetKeys(std::vector<std::string> keys);

    // Returns where peers reach this process. Known once start() has returned.
    Endpoint advertised() const;

    // Returns the largest payload that send() takes.
    std::size_t maxDatagramPayload() const;

    // Returns the bytes sent and received so far, for the measurement of control traffic.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

    // Test hook: called for each outgoing and incoming datagram and call with the address that the peer listens on;
    // returning true drops it.
    std::function<bool(const Endpoint &peer, bool outgoing)> dropHook;

private:
    struct Private;
    std::shared_ptr<Private> m_d; // shared with the coroutines under way, which outlive stop() by a moment
};

} // namespace mulberryplank
