#pragma once

#include <map>

#include <boost/asio/ip/udp.hpp>
#include <boost/intrusive/list.hpp>

#include "mulberryplank/base/eventthrottle.h"
#include "mulberryplank/net/peertransport.h"
#include "peerconnection.h"

namespace mulberryplank
{

namespace internal
{

// Limits the log lines for rejected messages, so that a flood of bad messages doesn't flood the log.
inline constexpr Seconds RefusalLogInterval { 1 };

} // namespace internal

// The state of a transport. Datagrams are in peertransport.cpp, calls in peertransportcalls.cpp.
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
    boost::system::error_code bindPort();
    void refuse(const std::string &from, const std::string &reason);
    PeerEnvelope envelope(PeerChannel channel, PeerKind kind, std::string destination, std::string payload) const;
    bool dropped(const Endpoint &peer, bool outgoing) const;

    boost::asio::awaitable<void> receiveDatagrams(std::shared_ptr<Private> self);
    void handleDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint &from);

    boost::asio::awaitable<void> acceptCalls(std::shared_ptr<Private> self);
    boost::asio::awaitable<void> handleCall(std::shared_ptr<Private> self,
                                            std::shared_ptr<internal::PeerConnection> connection);
    boost::asio::awaitable<void> handleCallBody(internal::PeerConnection &connection,
                                                PeerEnvelope request,
                                                PayloadSummary summary);
    boost::asio::awaitable<void> handleUpgrade(internal::PeerConnection &connection,
                                               PeerEnvelope request,
                                               std::string payload);
    boost::asio::awaitable<bool> respond(internal::PeerConnection &connection,
                                         const PeerEnvelope &request,
                                         const Result<std::string> &outcome);
    boost::asio::awaitable<Result<std::shared_ptr<internal::PeerConnection>>> connect(std::shared_ptr<Private> self,
                                                                                      Endpoint to,
                                                                                      Duration timeout,
                                                                                      std::string &nonce);
    Result<std::string> runHandler(const PeerEnvelope &request, std::string_view body);
    boost::asio::awaitable<Result<std::string>> exchange(std::shared_ptr<internal::PeerConnection> connection,
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
    std::map<PeerKind, UpgradeHandler> upgradeHandlers;
    ReplayGuard replays;
    boost::asio::ip::udp::socket datagrams;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::intrusive::list<internal::PeerConnection, boost::intrusive::constant_time_size<false>> connections;
    Sequence nextSequence = 1;
    std::size_t bodyBytes = 0; // of the payloads of calls in progress
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    EventThrottle refusals { internal::RefusalLogInterval };
    bool running = false;
};

} // namespace mulberryplank
