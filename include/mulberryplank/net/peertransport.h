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
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// What a message between proxies is about. Payloads are encoded with cereal by whoever owns the kind.
enum class PeerKind : std::uint8_t {
    Membership = 1,
    ConfigPush = 2,
    ConfigPull = 3,
    Evidence = 4,
    Demand = 5,
    OnceForward = 6,
    StatusQuery = 7,
};

// Who sent a message, as proven by its HMAC.
struct PeerSender {
    VmName vm;
    Incarnation incarnation = 0;
    Endpoint from;
};

struct PeerTransportSettings {
    Endpoint listen; // UDP and TCP
    VmName vm;
    Incarnation incarnation = 0;
    std::vector<std::string> fleetKeys; // the first one signs, all of them verify
    std::size_t maxDatagram = 1'400; // bytes
    std::size_t maxCall = 256 * 1024 * 1024; // bytes
};

// Signed messages between proxies: datagrams, and calls with an answer over TCP. All of it runs on one io_context,
// which must be run by one thread. Messages with a bad HMAC, or replayed ones, are dropped and logged.
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

    // Calls a peer over TCP and returns its answer, or what went wrong. Takes at most `timeout`.
    boost::asio::awaitable<Result<std::string>> call(Endpoint to, PeerKind kind, std::string payload, Duration timeout);

    // Returns the bytes sent and received so far, for the measurement of control traffic.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

    // Test hook: called for each outgoing and incoming datagram and call; returning true drops it.
    std::function<bool(const Endpoint &peer, bool outgoing)> dropHook;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace mulberryplank
