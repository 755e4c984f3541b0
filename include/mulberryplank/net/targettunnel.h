#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/name.h"
#include "mulberryplank/net/httpstream.h"
#include "mulberryplank/net/peertransport.h"

namespace mulberryplank
{

// Requests a connection to a target from a gateway that reaches it.
struct TunnelRequest {
    TargetName target;
};

std::string encode(const TunnelRequest &request);

// Decodes verified bytes. Errors: BadRequest.
Result<TunnelRequest> decodeTunnelRequest(std::string_view bytes);

// How a tunnel carries what the target sends.
enum class TunnelFormat : std::uint8_t {
    Plain, // unchanged
    Framed, // in frames, of which one follows the orderly end of the target's connection
};

struct TunnelSettings {
    std::size_t maxTunnels = 512; // each takes two descriptors
    Duration connectTime = Millis(300); // maximum time for connecting to a target
};

struct TunnelHooks {
    // Returns where the target with that name listens. Errors: any kind; it is the response to the requesting gateway.
    std::function<Result<Endpoint>(const TargetName &)> locate;
    // Called once for each connection to a target that was opened at that time: with true when the target sends data,
    // with false when it can't be connected to or resets the connection before that.
    std::function<void(const TargetName &, bool reached, Instant openedAt)> noteConnection;
};

// Connects other gateways to targets that they can't reach themselves. A tunnel is a connection of another gateway that
// this process joins to a connection to a target: what one end sends reaches the other, and the end of one connection
// ends the other in the same way, orderly or by a reset. A tunnel that is open at the end of this object is reset. When
// the process is killed, its connections end in order, which only the format Framed tells from the target's own end.
// Runs on the thread of the io_context.
class TunnelServer
{
public:
    TunnelServer(boost::asio::io_context &context, TunnelSettings settings, TunnelHooks hooks);
    ~TunnelServer();
    TunnelServer(const TunnelServer &) = delete;
    TunnelServer &operator=(const TunnelServer &) = delete;

    // Handles a request for a tunnel. Errors: those of the hook; BadRequest; TooManyConnections; NoTarget if the target
    // can't be reached from here.
    boost::asio::awaitable<Result<PeerTransport::SocketReceiver>> open(std::string payload, TunnelFormat format);

    // Returns the number of open tunnels. A tunnel is open until the requesting gateway has closed it, or either end
    // has reset it.
    std::size_t count() const;

private:
    class Tunnel;
    struct TunnelList;

    // Called with whether a tunnel's target was reached.
    using ReachedHook = std::function<void(bool reached)>;

    void join(PeerTransport::SocketPtr peer,
              PeerTransport::SocketPtr target,
              TunnelFormat format,
              ReachedHook noteReached);

    boost::asio::io_context &m_context;
    TunnelSettings m_settings;
    TunnelHooks m_hooks;
    std::unique_ptr<TunnelList> m_tunnels;
};

// The requesting gateway's end of a tunnel.
struct OpenedTunnel {
    PeerTransport::SocketPtr socket;
    InputEnd inputEnd = InputEnd::Unknown;
};

// Requests a tunnel from the gateway at `relay`: a framed one, or a plain one if that gateway's version has no framed
// ones. Each request takes at most `timeout`. Errors: those of TunnelServer::open(); ConnectFailed and PeerLost as for
// PeerTransport::call().
boost::asio::awaitable<Result<OpenedTunnel>> openTunnel(PeerTransport &peers,
                                                        Endpoint relay,
                                                        TargetName target,
                                                        Duration timeout);

} // namespace mulberryplank
