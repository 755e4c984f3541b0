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

// The largest frame that a peer has to take before the other end has proven itself.
inline constexpr std::size_t MaxHeaderFrameSize = 4'096;

// Returns NonceSize random bytes that nobody can foretell.
std::string randomNonce();

// Returns `bytes` with their length before them, as PeerConnection::readFrame() expects it.
std::string addLengthPrefix(std::string_view bytes);

// One TCP connection of a call: frames with a length before them, and a time after which it is closed whatever it is
// doing. Reads and writes return nothing or false once it is closed.
class PeerConnection
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    explicit PeerConnection(boost::asio::ip::tcp::socket socket);
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    // Closes the connection after `limit`, in place of any earlier limit. `self` is this connection.
    void closeAfter(const std::shared_ptr<PeerConnection> &self, Duration limit);
    void close();

    boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::endpoint to);
    boost::asio::awaitable<bool> write(std::string_view bytes);

    // Reads a frame, or closes the connection if it is larger than `limit`.
    boost::asio::awaitable<std::optional<std::string>> readFrame(std::size_t limit);

    // Reads so many bytes. Memory grows with what has arrived, not with what was announced.
    boost::asio::awaitable<std::optional<std::string>> readBytes(std::size_t size);

    // Returns the other end's address for log lines.
    std::string peerText() const;

    // Return the bytes moved since they were last asked.
    std::uint64_t takeSent();
    std::uint64_t takeReceived();

private:
    boost::asio::ip::tcp::socket m_socket;
    Timer m_timer;
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
};

} // namespace mulberryplank::internal
