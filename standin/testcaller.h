#pragma once

// Utilities for the tests of the stand-ins: a blocking HTTP client over loopback, and waits with a timeout.

#include <memory>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/json/parse.hpp>

#include <CppUTest/TestHarness.h>

#include "httpserver.h"

namespace standin
{

// Makes a test fail that would otherwise wait forever because of a defect. No test passes by reaching this timeout.
constexpr auto TestTimeout = std::chrono::seconds(20);

inline Instant fixedNow()
{
    return Instant {};
}

// Runs the server's handlers until `condition` holds. Fails the test when no handler runs within TestTimeout.
template<typename Condition>
void runUntil(asio::io_context &context, Condition condition)
{
    while (!condition()) {
        if (context.run_one_for(TestTimeout) == 0) {
            FAIL("no handler ran within the timeout, and the awaited condition does not hold");
        }
    }
}

// A blocking client connection to a server on the same thread. Runs the server's handlers while it waits.
class Caller
{
public:
    Caller(asio::io_context &context, std::uint16_t port)
        : m_context(context)
        , m_socket(context)
    {
        m_socket.connect({ asio::ip::address_v4::loopback(), port });
    }

    void send(http::verb method, const std::string &path, const std::string &body = {}, const std::string &id = {})
    {
        Request request(method, path, 11);
        request.set(http::field::host, "localhost");
        if (!id.empty()) {
            request.set("X-Request-Id", id);
        }
        request.body() = body;
        request.prepare_payload();
        http::write(m_socket, request);
    }

    // Returns the response, or one with status 0 when the connection ended before it was complete.
    Response receive()
    {
        // Shared with the handler, which outlives this function when the test fails in it.
        const auto read = std::make_shared<Read>();
        http::async_read(
            m_socket, m_buffer, read->response, [read](const boost::system::error_code &error, std::size_t) {
                read->end = error;
                read->done = true;
            });
        runUntil(m_context, [&read] {
            return read->done;
        });
        if (read->end) {
            read->response.result(0U);
        }
        return read->response;
    }

    Response sendAndReceive(http::verb method,
                            const std::string &path,
                            const std::string &body = {},
                            const std::string &id = {})
    {
        send(method, path, body, id);
        return receive();
    }

    // Reads `count` bytes, or fewer if the connection ends. Sets `end` to the error that ended it, or to no error.
    std::string receiveBytes(std::size_t count, boost::system::error_code &end)
    {
        const auto read = std::make_shared<Read>();
        read->bytes.resize(count);
        asio::async_read(
            m_socket, asio::buffer(read->bytes), [read](boost::system::error_code error, std::size_t size) {
                read->bytes.resize(size);
                read->end = error;
                read->done = true;
            });
        runUntil(m_context, [&read] {
            return read->done;
        });
        end = read->end;
        return read->bytes;
    }

    // Returns true when the connection is open and has no unread data.
    bool isOpenAndIdle()
    {
        char byte = 0;
        boost::system::error_code error;
        m_socket.non_blocking(true);
        m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        m_socket.non_blocking(false);
        return error == asio::error::would_block;
    }

    void close()
    {
        m_socket.close();
    }

private:
    struct Read {
        Response response;
        std::string bytes;
        boost::system::error_code end;
        bool done = false;
    };

    asio::io_context &m_context;
    asio::ip::tcp::socket m_socket;
    beast::flat_buffer m_buffer;
};

inline boost::json::value parseJson(const Response &response)
{
    return boost::json::parse(response.body());
}

inline std::uint64_t fetchCounter(asio::io_context &context, std::uint16_t port, const char *path, const char *name)
{
    const boost::json::value found = parseJson(Caller(context, port).sendAndReceive(http::verb::get, path));
    const boost::json::value *value = found.as_object().if_contains(name);
    return value ? value->to_number<std::uint64_t>() : 0;
}

} // namespace standin
