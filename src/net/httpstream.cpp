#include "mulberryplank/net/httpstream.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/idlesocket.h"
#include "mulberryplank/net/socketoptions.h"

namespace mulberryplank
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace internal
{

constexpr std::size_t ReadSize = 8 * 1024; // maximum size of one read from the socket

// Maximum size of the header of a chunk, or of the trailer fields. The parser doesn't limit them, and takes none of
// their bytes before it has all.
constexpr std::size_t MaxChunkHeaderSize = 64 * 1024;

} // namespace internal

std::string_view toString(PeerState state)
{
    constexpr std::array<std::string_view, 3> Names { "open", "ended", "reset" };
    return Names.at(static_cast<std::size_t>(state));
}

void setDataSocketOptions(DataSocket &socket)
{
    setConnectionOptions(socket, DataKeepalive);
}

HttpStream::HttpStream(DataSocket socket, TimerWheel &wheel, InputEnd inputEnd)
    : m_socket(std::move(socket))
    , m_wheel(wheel)
    , m_timer([this] {
        handleDeadline();
    })
    , m_inputEnd(inputEnd)
{
}

HttpStream::~HttpStream()
{
    close();
}

void HttpStream::handleDeadline()
{
    const Instant now = Clock::now();
    if (now < m_latestDelivery && undeliveredBytes() > 0) {
        m_wheel.arm(m_timer, std::min(now + m_deliveryDelay, m_latestDelivery));
        return;
    }
    m_timedOut = true;
    if (m_staysOpenOnTimeout) {
        cancel();
    } else {
        close();
    }
}

void HttpStream::expiresAt(Instant deadline)
{
    m_staysOpenOnTimeout = false;
    m_latestDelivery = {};
    m_wheel.arm(m_timer, deadline);
}

void HttpStream::expiresOnceDelivered(Duration delay, Duration limit)
{
    const Instant now = Clock::now();
    expiresAt(now + delay);
    m_deliveryDelay = delay;
    m_latestDelivery = now + limit;
}

void HttpStream::readingExpiresAt(Instant deadline)
{
    m_staysOpenOnTimeout = true;
    m_latestDelivery = {};
    m_wheel.arm(m_timer, deadline);
}

void HttpStream::expiresNever()
{
    m_timer.disarm();
}

bool HttpStream::timedOut() const
{
    return m_timedOut;
}

std::size_t HttpStream::undeliveredBytes()
{
    int bytes = 0;
    const bool known = m_socket.is_open() && ::ioctl(m_socket.native_handle(), SIOCOUTQ, &bytes) == 0;
    return known ? static_cast<std::size_t>(bytes) : 0;
}

void HttpStream::cancel()
{
    error_code ignored;
    m_socket.cancel(ignored);
}

void HttpStream::close()
{
    m_timer.disarm();
    error_code ignored;
    m_socket.close(ignored);
}

DataAwaitable<error_code> HttpStream::connect(Endpoint endpoint, Instant deadline)
{
    expiresAt(deadline);
    error_code error;
    const auto address = asio::ip::make_address(endpoint.host, error);
    if (error) {
        co_return error;
    }
    const asio::ip::tcp::endpoint to(address, endpoint.port);
    co_await m_socket.async_connect(to, asio::redirect_error(UseData, error));

    if (!error) {
        setDataSocketOptions(m_socket);
    }
    co_return error;
}

DataAwaitable<error_code> HttpStream::readSome()
{
    // The deadline may have passed between two reads, when no read could be cancelled.
    if (m_timedOut) {
        co_return asio::error::timed_out;
    }
    error_code error;
    std::size_t size = 0;
    while (!error && size == 0) {
        if (m_frames.hasEnded()) {
            co_return asio::error::eof;
        }
        const auto room = m_buffer.prepare(internal::ReadSize);
        size = co_await m_socket.async_read_some(room, asio::redirect_error(UseData, error));
        if (m_inputEnd == InputEnd::Frame) {
            size = m_frames.unwrap(static_cast<char *>(room.data()), size);
        }
    }
    m_buffer.commit(size);
    const bool cutShort = error == asio::error::eof && m_inputEnd != InputEnd::Connection;
    co_return cutShort ? error_code(http::error::partial_message) : error;
}

DataAwaitable<error_code> HttpStream::waitForInput()
{
    if (m_buffer.size() > 0) {
        co_return error_code {};
    }
    // An idle connection keeps no read buffer, because the buffer would be the largest part of the memory of an idle
    // caller.
    m_buffer.shrink_to_fit();
    error_code error;
    co_await m_socket.async_wait(asio::socket_base::wait_read, asio::redirect_error(UseData, error));
    co_return error;
}

template<typename Parser>
DataAwaitable<error_code> HttpStream::readHeaderOf(Parser &parser)
{
    while (true) {
        if (m_buffer.size() > 0) {
            error_code error;
            const std::size_t used = parser.put(m_buffer.data(), error);
            m_buffer.consume(used);
            if (error && error != http::error::need_more) {
                co_return error;
            }
            if (parser.is_header_done()) {
                co_return error_code {};
            }
        }
        const error_code error = co_await readSome();
        if (error) {
            const bool partial = error == asio::error::eof && (parser.got_some() || m_buffer.size() > 0);
            co_return partial ? error_code(http::error::partial_message) : error;
        }
    }
}

template<typename Parser>
DataAwaitable<BodyPiece> HttpStream::readBodyOf(Parser &parser, asio::mutable_buffer out)
{
    auto &body = parser.get().body();
    body.data = out.data();
    body.size = out.size();
    while (!parser.is_done() && body.size == out.size()) {
        error_code error;
        if (m_buffer.size() > 0) {
            const std::size_t used = parser.put(m_buffer.data(), error);
            m_buffer.consume(used);
            if (error == http::error::need_buffer) {
                break;
            }
            if (error && error != http::error::need_more) {
                co_return BodyPiece { error, 0, false };
            }
            if (!error) {
                continue;
            }
            if (m_buffer.size() > internal::MaxChunkHeaderSize) {
                co_return BodyPiece { http::error::header_limit, 0, false };
            }
        }
        error = co_await readSome();
        if (error == asio::error::eof) {
            error = {};
            parser.put_eof(error);
        }
        if (error) {
            co_return BodyPiece { error, 0, false };
        }
    }
    co_return BodyPiece { {}, out.size() - body.size, parser.is_done() };
}

DataAwaitable<error_code> HttpStream::readHeader(RequestParser &parser)
{
    return readHeaderOf(parser);
}

DataAwaitable<error_code> HttpStream::readHeader(ResponseParser &parser)
{
    return readHeaderOf(parser);
}

DataAwaitable<BodyPiece> HttpStream::readBody(RequestParser &parser, asio::mutable_buffer out)
{
    return readBodyOf(parser, out);
}

DataAwaitable<BodyPiece> HttpStream::readBody(ResponseParser &parser, asio::mutable_buffer out)
{
    return readBodyOf(parser, out);
}

template<typename Parser>
DataAwaitable<BodyPiece> HttpStream::appendBodyOf(Parser &parser, std::string &body, std::size_t maxSize)
{
    const std::size_t before = body.size();
    body.resize(before + maxSize);
    const BodyPiece piece = co_await readBodyOf(parser, asio::buffer(body.data() + before, maxSize));
    body.resize(before + piece.size);
    co_return piece;
}

DataAwaitable<BodyPiece> HttpStream::appendBody(RequestParser &parser, std::string &body, std::size_t maxSize)
{
    return appendBodyOf(parser, body, maxSize);
}

DataAwaitable<BodyPiece> HttpStream::appendBody(ResponseParser &parser, std::string &body, std::size_t maxSize)
{
    return appendBodyOf(parser, body, maxSize);
}

DataAwaitable<error_code> HttpStream::write(asio::const_buffer data)
{
    co_return co_await write(std::span(&data, 1));
}

DataAwaitable<error_code> HttpStream::write(std::span<const asio::const_buffer> pieces)
{
    error_code error;
    m_writing = true;
    co_await asio::async_write(m_socket, pieces, asio::redirect_error(UseData, error));
    m_writing = false;
    const bool lost = error == asio::error::connection_reset || error == asio::error::timed_out;
    if (lost && m_inputEnd == InputEnd::Connection) {
        // The system reports the loss of a connection once, so a read sees an orderly end now.
        m_inputEnd = InputEnd::Unknown;
    }
    co_return error;
}

bool HttpStream::hasUnexpectedInput()
{
    if (m_buffer.size() > 0 || m_frames.isInsideFrame() || m_frames.hasEnded()) {
        return true;
    }
    return mulberryplank::hasUnexpectedInput(m_socket.native_handle());
}

bool HttpStream::isClosedByPeer()
{
    char byte = 0;
    const ssize_t size = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

PeerState HttpStream::peerState()
{
    if (!m_socket.is_open()) {
        return PeerState::Reset;
    }
    pollfd state { m_socket.native_handle(), POLLRDHUP, 0 };
    if (::poll(&state, 1, 0) != 1 || state.revents == 0) {
        return PeerState::Open;
    }
    return (state.revents & POLLERR) != 0 ? PeerState::Reset : PeerState::Ended;
}

std::size_t HttpStream::readAvailable()
{
    const auto room = m_buffer.prepare(internal::ReadSize);
    const ssize_t size = ::recv(m_socket.native_handle(), room.data(), room.size(), MSG_DONTWAIT);
    if (size <= 0) {
        return 0;
    }
    m_buffer.commit(static_cast<std::size_t>(size));
    return static_cast<std::size_t>(size);
}

} // namespace mulberryplank
