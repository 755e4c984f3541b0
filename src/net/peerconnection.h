#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>

#include "mulberryplank/base/time.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank::internal
{

inline constexpr std::size_t NonceSize = 16;

// Maximum size of the frames that are read before the other end is authenticated.
inline constexpr std::size_t MaxHeaderFrameSize = 4'096;

// Returns NonceSize cryptographically secure random bytes.
std::string randomNonce();

// Returns `bytes` prefixed with their length, as PeerConnection::readFrame() expects them.
std::string addLengthPrefix(std::string_view bytes);

// One TCP connection of a call. Transfers length-prefixed frames and is closed after a time limit, regardless of the
// operation in progress. After that, reads return nothing and writes return false.
class PeerConnection
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    explicit PeerConnection(boost::asio::ip::tcp::socket socket);
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    // Closes the connection after `limit`, which replaces any earlier limit. `self` is this connection.
    void closeAfter(const std::shared_ptr<PeerConnection> &self, Duration limit);
    void close();

    // Returns the socket, open and without a time limit. This connection can't be used afterwards.
    std::unique_ptr<boost::asio::ip::tcp::socket> takeSocket();

    boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::endpoint to);
    boost::asio::awaitable<bool> write(std::string_view bytes);

    // Reads a frame, or closes the connection if the frame is larger than `limit`.
    boost::asio::awaitable<std::optional<std::string>> readFrame(std::size_t limit);

    // Reads exactly `size` bytes. Memory use grows with the received data, not with the announced size.
    boost::asio::awaitable<std::optional<std::string>> readBytes(std::size_t size);

    // Returns the other end's address for log lines.
    std::string peerText() const;

    // Return the number of bytes sent or received since the last call.
    std::uint64_t takeSent();
    std::uint64_t takeReceived();

private:
    boost::asio::ip::tcp::socket m_socket;
    Timer m_timer;
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
};

} // namespace mulberryplank::internal
