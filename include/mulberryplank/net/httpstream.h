#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "mulberryplank/base/timerwheel.h"
#include "mulberryplank/net/dataexecutor.h"
#include "mulberryplank/net/streamframes.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

using RequestParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

// What tells the end of a connection's input, and with it the end of a body without a length.
enum class InputEnd : std::uint8_t {
    Connection, // the orderly end of the connection
    Frame, // the last one of the frames that the input consists of
    Unknown, // nothing: the connection also ends in order when the rest of the input is lost
};

// How the other end of a connection stands.
enum class PeerState : std::uint8_t {
    Open, // it may still send
    Ended, // it sends no more: it has closed the connection, or only its sending side
    Reset, // the connection was reset, or is closed on this side
};

std::string_view toString(PeerState state);

// A piece of a message's body.
struct BodyPiece {
    boost::system::error_code error; // set if the body is truncated or can't be read
    std::size_t size = 0; // bytes stored
    bool last = false; // the body is complete
};

// A TCP connection that carries HTTP messages, with a read buffer and one deadline for the operation in progress. When
// the deadline passes, the socket is closed and the operation ends with an error. Used by one thread only.
class HttpStream
{
public:
    HttpStream(DataSocket socket, TimerWheel &wheel, InputEnd inputEnd = InputEnd::Connection);
    ~HttpStream();
    HttpStream(const HttpStream &) = delete;
    HttpStream &operator=(const HttpStream &) = delete;

    // Sets the deadline for the operations that follow. expiresNever() removes it.
    void expiresAt(Instant deadline);

    // Sets a deadline for reading only. When it passes, the operation ends with an error and the socket stays open, so
    // that an error response can still be written to the peer. Nothing can be read afterwards.
    void readingExpiresAt(Instant deadline);
    void expiresNever();

    // As expiresAt() with a deadline `delay` from now. When it passes and output isn't delivered, it is put off by
    // `delay`, but not beyond `limit` from now.
    void expiresOnceDelivered(Duration delay, Duration limit);

    // Returns true once a deadline has passed.
    bool timedOut() const;

    // Returns the number of bytes that were written and not acknowledged by the peer.
    std::size_t undeliveredBytes();

    // Ends the operations in progress with an error and leaves the socket open.
    void cancel();

    // Closes the socket. Operations in progress end with an error. May be called repeatedly.
    void close();

    // Connects to `endpoint`, whose host is an address, and sets the socket options of a data connection. `deadline`
    // stays in force, as after expiresAt().
    DataAwaitable<boost::system::error_code> connect(Endpoint endpoint, Instant deadline);

    // Reads until `parser` has the complete header. Returns boost::asio::error::eof if the connection was closed before
    // the first byte.
    DataAwaitable<boost::system::error_code> readHeader(RequestParser &parser);
    DataAwaitable<boost::system::error_code> readHeader(ResponseParser &parser);

    // Reads a part of the body into `out`. Waits until there is at least one byte or the body is complete.
    DataAwaitable<BodyPiece> readBody(RequestParser &parser, boost::asio::mutable_buffer out);
    DataAwaitable<BodyPiece> readBody(ResponseParser &parser, boost::asio::mutable_buffer out);

    // As readBody(), but appends up to `maxSize` bytes to `body`.
    DataAwaitable<BodyPiece> appendBody(RequestParser &parser, std::string &body, std::size_t maxSize);
    DataAwaitable<BodyPiece> appendBody(ResponseParser &parser, std::string &body, std::size_t maxSize);

    // Writes all of `data`, or all of several pieces one after the other.
    DataAwaitable<boost::system::error_code> write(boost::asio::const_buffer data);
    DataAwaitable<boost::system::error_code> write(std::span<const boost::asio::const_buffer> pieces);

    // Reads the available data into buffer(). Waits until there is at least one byte. Returns boost::asio::error::eof
    // at the end of the input, and boost::beast::http::error::partial_message if the connection ends before.
    DataAwaitable<boost::system::error_code> readSome();

    // Waits until there is input to parse.
    DataAwaitable<boost::system::error_code> waitForInput();

    // Returns true if unexpected bytes are available or the peer has closed the connection. Such a connection can't be
    // used for another request. Does not block.
    bool hasUnexpectedInput();

    // Returns true when the peer has closed or reset the connection. Does not block.
    bool isClosedByPeer();

    // Returns how the other end stands, even if there is unread input. Does not block.
    PeerState peerState();

    // Reads the input that has arrived into buffer(), at most as much as one read takes. Returns its size, 0 if there
    // is none or the connection has ended. Does not block, and no other read may be in progress.
    std::size_t readAvailable();

    // Returns true while write() is in progress.
    bool isWriting() const
    {
        return m_writing;
    }

    DataSocket &socket()
    {
        return m_socket;
    }

    boost::beast::flat_buffer &buffer()
    {
        return m_buffer;
    }

private:
    template<typename Parser>
    DataAwaitable<boost::system::error_code> readHeaderOf(Parser &parser);
    template<typename Parser>
    DataAwaitable<BodyPiece> readBodyOf(Parser &parser, boost::asio::mutable_buffer out);
    template<typename Parser>
    DataAwaitable<BodyPiece> appendBodyOf(Parser &parser, std::string &body, std::size_t maxSize);

    void handleDeadline();

    DataSocket m_socket;
    TimerWheel &m_wheel;
    WheelTimer m_timer;
    boost::beast::flat_buffer m_buffer;
    InputEnd m_inputEnd;
    FrameReader m_frames; // with InputEnd::Frame
    bool m_timedOut = false;
    bool m_writing = false;
    bool m_staysOpenOnTimeout = false; // when the deadline passes
    Duration m_deliveryDelay {}; // of expiresOnceDelivered()
    Instant m_latestDelivery {}; // likewise; unset: the deadline isn't put off
};

// Sets the options of every data connection: no delay of small writes, keepalive, and the maximum time that sent data
// may stay unacknowledged. With them a connection whose path is lost ends instead of hanging.
void setDataSocketOptions(DataSocket &socket);

} // namespace mulberryplank
