#include "mulberryplank/net/httpstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/base/timerwheel.h"
#include "mulberryplank/net/clock.h"
#include "streamtesthelp.h"

using namespace mulberryplank;

namespace asio = boost::asio;

namespace
{

constexpr std::uint32_t HeaderLimit = 64 * 1024;
constexpr std::size_t MaxTaken = 256 * 1024; // bytes that a stream may hold
constexpr std::size_t PieceSize = 16 * 1024;

// A stream whose peer writes `begin`, and then `repeated` until the stream is closed or 16 MB have been written.
class EndlessPeer
{
public:
    EndlessPeer(std::string begin, const std::string &repeated)
        : m_bytes(std::move(begin))
        , m_peer(m_context)
        , m_wheel(Instant {}, Millis(1))
    {
        while (m_repeated.size() < PieceSize) {
            m_repeated += repeated;
        }
        asio::ip::tcp::acceptor acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 });
        DataSocket socket(m_context.get_executor());
        socket.connect(acceptor.local_endpoint());
        m_peer = acceptor.accept();
        m_stream = std::make_unique<HttpStream>(std::move(socket), m_wheel);
        asio::co_spawn(m_context, write(), asio::detached);
    }

    // Reads a response, of which at most `maxBody` bytes of the body, and closes the stream. Returns whether it was
    // rejected.
    bool rejects(std::size_t maxBody)
    {
        boost::system::error_code error;
        const std::function<DataAwaitable<void>()> read = [&]() -> DataAwaitable<void> {
            ResponseParser parser;
            parser.header_limit(HeaderLimit);
            parser.body_limit(boost::none);
            error = co_await m_stream->readHeader(parser);
            std::string body;
            while (!error && !parser.is_done() && body.size() < maxBody) {
                const BodyPiece piece = co_await m_stream->appendBody(parser, body, PieceSize);
                error = piece.error;
            }
            m_stream->close();
        };
        asio::co_spawn(m_context.get_executor(), read, asio::detached);
        m_context.run();
        return error && error != asio::error::eof;
    }

    std::size_t written() const
    {
        return m_written;
    }

    std::size_t buffered() const
    {
        return m_stream->buffer().capacity();
    }

private:
    static constexpr std::size_t MaxWritten = 16 << 20;

    asio::awaitable<void> write()
    {
        boost::system::error_code error;
        while (!error && m_written < MaxWritten) {
            m_written += co_await asio::async_write(
                m_peer, asio::buffer(m_bytes), asio::redirect_error(asio::use_awaitable, error));
            m_bytes = m_repeated;
        }
        m_peer.close();
    }

    std::string m_bytes;
    std::string m_repeated;
    asio::io_context m_context;
    asio::ip::tcp::socket m_peer;
    TimerWheel m_wheel;
    std::unique_ptr<HttpStream> m_stream;
    std::size_t m_written = 0;
};

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Checks that a response is rejected whose bytes never become part of its body, before it has taken much memory.
void checkRejected(const std::string &begin, const std::string &repeated)
{
    constexpr std::size_t SocketBuffers = 8 << 20; // bytes that the peer can write although nobody reads them
    EndlessPeer peer(begin, repeated);
    CHECK_TRUE(peer.rejects(SIZE_MAX));
    CHECK_TRUE(peer.buffered() <= MaxTaken);
    CHECK_TRUE(peer.written() <= MaxTaken + SocketBuffers);
}

void advance(VirtualTime &time, TimerWheel &wheel, Duration span)
{
    time.advance(span);
    wheel.advance(Clock::now());
}

} // namespace

TEST_GROUP(HttpStream) {};

// Guard against targets that send bytes without end which are no response.
TEST(HttpStream, endlessStatusLineIsRejected)
{
    checkRejected("", "x");
    checkRejected("HTTP/1.1 200 ", "OK");
}

TEST(HttpStream, endlessHeaderFieldsAreRejected)
{
    checkRejected("HTTP/1.1 200 OK\r\n", "Name: value\r\n");
    checkRejected("HTTP/1.1 200 OK\r\nName: ", "value ");
}

TEST(HttpStream, endlessChunkSizeIsRejected)
{
    checkRejected(ChunkedHead, "0");
}

TEST(HttpStream, endlessChunkExtensionIsRejected)
{
    checkRejected(ChunkedHead + "5;name=", "value");
}

TEST(HttpStream, endlessTrailerFieldsAreRejected)
{
    checkRejected(ChunkedHead + "5\r\nhello\r\n0\r\n", "Name: value\r\n");
}

TEST(HttpStream, endlessBodyIsReadPieceByPiece)
{
    constexpr std::size_t MaxBody = 4 << 20;
    EndlessPeer peer("HTTP/1.1 200 OK\r\n\r\n", "x");
    CHECK_FALSE(peer.rejects(MaxBody));
    CHECK_TRUE(peer.buffered() <= MaxTaken);
}

// Guards against a cut response that looks complete because the write of the request got the reset of its connection.
TEST(HttpStream, bodyWithoutALengthIsCutShortByAResetThatAWriteReports)
{
    ConnectedStream connection;
    asio::io_context &context = connection.context;
    asio::ip::tcp::socket &peer = connection.peer;
    HttpStream &stream = *connection.stream;
    const std::string request(ConnectedStream::LargerThanSocketBuffers, 'r');
    boost::system::error_code written;
    boost::system::error_code read;
    const std::function<DataAwaitable<void>()> writeRequest = [&]() -> DataAwaitable<void> {
        written = co_await stream.write(asio::buffer(request));
    };
    const std::function<DataAwaitable<void>()> readResponse = [&]() -> DataAwaitable<void> {
        ResponseParser parser;
        parser.body_limit(boost::none);
        read = co_await stream.readHeader(parser);
        std::string body;
        while (!read && !parser.is_done()) {
            read = (co_await stream.appendBody(parser, body, PieceSize)).error;
        }
    };
    asio::co_spawn(context.get_executor(), writeRequest, asio::detached);
    asio::co_spawn(context.get_executor(), readResponse, asio::detached);
    asio::write(peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\na part")));
    while (context.poll() > 0) {
        // Runs until the write waits for the peer to read, and the read for the rest of the body.
    }
    peer.set_option(asio::socket_base::linger(true, 0));
    peer.close();
    context.run();
    CHECK_TRUE(written == asio::error::connection_reset);
    CHECK_TRUE(read == boost::beast::http::error::partial_message);
}

// Guards against a response that is discarded because its connection is closed while the caller still reads it.
TEST(HttpStream, deadlineIsPutOffUntilTheOutputIsDelivered)
{
    VirtualTime time(Instant {} + Seconds(1));
    ConnectedStream connection(ConnectedStream::SmallBuffer);
    HttpStream &stream = *connection.stream;
    std::string response(ConnectedStream::LargeResponse, 'r');
    stream.socket().write_some(asio::buffer(response));
    stream.expiresOnceDelivered(Seconds(2), Seconds(30));
    advance(time, connection.wheel, Seconds(3));
    CHECK_FALSE(stream.timedOut());
    asio::read(connection.peer, asio::buffer(response));
    while (stream.undeliveredBytes() > 0) {
        // The system sends and acknowledges the last bytes.
    }
    advance(time, connection.wheel, Seconds(3));
    CHECK_TRUE(stream.timedOut());
}

TEST(HttpStream, deadlineIsPutOffForALimitedTime)
{
    VirtualTime time(Instant {} + Seconds(1));
    ConnectedStream connection;
    HttpStream &stream = *connection.stream;
    boost::system::error_code full;
    stream.socket().non_blocking(true);
    while (!full) {
        stream.socket().write_some(asio::buffer(std::string(PieceSize, 'r')), full);
    }
    stream.expiresOnceDelivered(Seconds(2), Seconds(3));
    for (int second = 0; second < 3; ++second) {
        CHECK_FALSE(stream.timedOut());
        advance(time, connection.wheel, Seconds(1));
    }
    advance(time, connection.wheel, Seconds(1));
    CHECK_TRUE(stream.timedOut());
}
