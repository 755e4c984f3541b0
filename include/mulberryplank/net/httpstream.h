#pragma once

#include <cstddef>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "mulberryplank/base/timerwheel.h"
#include "mulberryplank/net/dataexecutor.h"

namespace mulberryplank
{

using RequestParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

// A piece of a message's body.
struct BodyPiece {
    boost::system::error_code error; // set: the body broke off or can't be read
    std::size_t size = 0; // bytes stored
    bool last = false; // the body is complete
};

// A TCP connection that carries HTTP messages, with a read buffer and one deadline for whatever operation is under way.
// When the deadline passes, the socket is closed and the operation ends with an error. Used by one thread only.
class HttpStream
{
public:
    HttpStream(DataSocket socket, TimerWheel &wheel);
    ~HttpStream();
    HttpStream(const HttpStream &) = delete;
    HttpStream &operator=(const HttpStream &) = delete;

    // Sets the deadline for the operations that follow, or takes it away.
    void expiresAt(Instant deadline);

    // Sets a deadline for reading alone: the operation ends with an error and the socket stays open, so that the peer
    // can be told. Nothing can be read afterwards.
    void readingExpiresAt(Instant deadline);
    void expiresNever();

    // Returns true once a deadline has passed.
    bool timedOut() const;

    // Closes the socket; operations under way end with an error. May be called repeatedly.
    void close();

    // Connects to `endpoint` and sets the options of a data connection.
    DataAwaitable<boost::system::error_code> connect(boost::asio::ip::tcp::endpoint endpoint);

    // Reads until `parser` has the whole header. boost::asio::error::eof: closed before the first byte.
    DataAwaitable<boost::system::error_code> readHeader(RequestParser &parser);
    DataAwaitable<boost::system::error_code> readHeader(ResponseParser &parser);

    // Reads some of the body into `out`, waiting until there is at least one byte or the body is complete.
    DataAwaitable<BodyPiece> readBody(RequestParser &parser, boost::asio::mutable_buffer out);
    DataAwaitable<BodyPiece> readBody(ResponseParser &parser, boost::asio::mutable_buffer out);

    // The same, for at maxSize `maxSize` bytes behind those that `body` holds already.
    DataAwaitable<BodyPiece> appendBody(RequestParser &parser, std::string &body, std::size_t maxSize);
    DataAwaitable<BodyPiece> appendBody(ResponseParser &parser, std::string &body, std::size_t maxSize);

    // Writes all of `data`.
    DataAwaitable<boost::system::error_code> write(boost::asio::const_buffer data);

    // Reads what there is into buffer(), waiting until there is something.
    DataAwaitable<boost::system::error_code> readSome();

    // Waits until at least one byte can be parsed.
    DataAwaitable<boost::system::error_code> waitForInput();

    // Returns true when bytes wait that nobody has asked for, or the peer has closed: such a connection can't be used
    // for another request. Does not block.
    bool hasUnexpectedInput();

    // Returns true when the peer has closed or reset the connection. Does not block.
    bool isClosedByPeer();

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

    DataSocket m_socket;
    TimerWheel &m_wheel;
    WheelTimer m_timer;
    boost::beast::flat_buffer m_buffer;
    bool m_timedOut = false;
    bool m_staysOpenOnTimeout = false; // when the deadline passes
};

// Sets what every data connection has: no delay of small writes, keepalive, and the longest that sent data may stay
// unacknowledged, so that a connection whose path has lost it ends instead of hanging.
void setDataSocketOptions(DataSocket &socket);

} // namespace mulberryplank
