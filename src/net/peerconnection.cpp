#include "peerconnection.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <openssl/rand.h>

namespace mulberryplank::internal
{

namespace
{

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::system::error_code;

constexpr std::size_t ReadStep = 65'536;
constexpr std::size_t LengthSize = sizeof(std::uint32_t);

} // namespace

std::string randomNonce()
{
    std::string nonce(NonceSize, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()), static_cast<int>(nonce.size())) != 1) {
        throw std::runtime_error("random number generator failed");
    }
    return nonce;
}

PeerConnection::PeerConnection(boost::asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{
}

void PeerConnection::closeAfter(const std::shared_ptr<PeerConnection> &self, Duration limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([weak = std::weak_ptr(self)](const error_code &error) {
        const auto connection = weak.lock();
        if (!error && connection) {
            connection->close();
        }
    });
}

void PeerConnection::close()
{
    error_code ignored;
    m_socket.close(ignored);
}

std::unique_ptr<boost::asio::ip::tcp::socket> PeerConnection::takeSocket()
{
    m_timer.cancel();
    return std::make_unique<boost::asio::ip::tcp::socket>(std::move(m_socket));
}

awaitable<bool> PeerConnection::connect(boost::asio::ip::tcp::endpoint to)
{
    error_code error;
    co_await m_socket.async_connect(to, redirect_error(use_awaitable, error));
    co_return !error;
}

awaitable<bool> PeerConnection::write(std::string_view bytes)
{
    error_code error;
    m_sent += co_await boost::asio::async_write(
        m_socket, boost::asio::buffer(bytes.data(), bytes.size()), redirect_error(use_awaitable, error));
    co_return !error;
}

std::string addLengthPrefix(std::string_view bytes)
{
    std::string frame(LengthSize, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(frame.data()),
                                 static_cast<std::uint32_t>(bytes.size()));
    frame.append(bytes);
    return frame;
}

awaitable<std::optional<std::string>> PeerConnection::readFrame(std::size_t limit)
{
    const auto prefix = co_await readBytes(LengthSize);
    if (!prefix) {
        co_return std::nullopt;
    }
    const std::uint32_t size = boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(prefix->data()));
    if (size > limit) {
        close();
        co_return std::nullopt;
    }
    co_return co_await readBytes(size);
}

awaitable<std::optional<std::string>> PeerConnection::readBytes(std::size_t size)
{
    std::string bytes;
    while (bytes.size() < size) {
        const std::size_t begin = bytes.size();
        bytes.resize(std::min(size, begin + ReadStep));
        error_code error;
        m_received += co_await boost::asio::async_read(m_socket,
                                                       boost::asio::buffer(bytes.data() + begin, bytes.size() - begin),
                                                       redirect_error(use_awaitable, error));
        if (error) {
            co_return std::nullopt;
        }
    }
    co_return bytes;
}

std::string PeerConnection::peerText() const
{
    error_code error;
    const auto endpoint = m_socket.remote_endpoint(error);
    return error ? "" : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::uint64_t PeerConnection::takeSent()
{
    return std::exchange(m_sent, 0);
}

std::uint64_t PeerConnection::takeReceived()
{
    return std::exchange(m_received, 0);
}

} // namespace mulberryplank::internal
