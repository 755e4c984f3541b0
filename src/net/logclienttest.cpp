#include "mulberryplank/net/logclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "logservice.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

TEST_GROUP(LogClient)
{
    asio::io_context m_context { 1 };
    standin::LogService m_service { m_context, {}, [] {
                                       return standin::Instant();
                                   } };
    LogClient m_client { m_context, { "127.0.0.1", m_service.port() }, Seconds(20) };

    void run(std::function<asio::awaitable<void>()> test)
    {
        std::exception_ptr failure;
        bool finished = false;
        asio::co_spawn(m_context, std::move(test), [&](std::exception_ptr error) {
            failure = std::move(error);
            finished = true;
        });
        while (!finished) {
            m_context.run_one();
        }
        m_service.stop();
        CHECK_FALSE(failure);
    }

    asio::awaitable<void> setFaults(std::string faults)
    {
        beast::tcp_stream stream(m_context);
        const auto address = asio::ip::make_address("127.0.0.1");
        co_await stream.async_connect(asio::ip::tcp::endpoint(address, m_service.port()), asio::use_awaitable);
        http::request<http::string_body> request(http::verb::post, "/-/faults", 11, faults);
        request.prepare_payload();
        co_await http::async_write(stream, request, asio::use_awaitable);
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        co_await http::async_read(stream, buffer, response, asio::use_awaitable);
        LONGS_EQUAL(200, response.result_int());
    }
};

TEST(LogClient, readsWhatWasAppended)
{
    run([this]() -> asio::awaitable<void> {
        const auto empty = co_await m_client.read("config", 0, 10, Millis(0));
        CHECK_TRUE(empty.has_value());
        LONGS_EQUAL(0, empty->next);
        LONGS_EQUAL(0, (co_await m_client.append("config", "first")).value());
        LONGS_EQUAL(1, (co_await m_client.append("config", "sec\"ond\n")).value());
        const auto page = co_await m_client.read("config", 1, 10, Millis(0));
        LONGS_EQUAL(2, page->next);
        CHECK_TRUE(page->records == (std::vector<LogRecord> { { 1, "sec\"ond\n" } }));
    });
}

// The platform has an outage. Later its response to an append is lost after the append took effect.
TEST(LogClient, outageAndLostResponseAreUnavailable)
{
    run([this]() -> asio::awaitable<void> {
        co_await setFaults(R"({"outage":true})");
        CHECK_TRUE((co_await m_client.append("config", "refused")).error().kind == ErrorKind::PlatformUnavailable);
        CHECK_TRUE((co_await m_client.read("config", 0, 1, Millis(0))).error().kind == ErrorKind::PlatformUnavailable);
        co_await setFaults(R"({"outage":false,"lose_answers":true})");
        CHECK_TRUE((co_await m_client.append("config", "kept")).error().kind == ErrorKind::PlatformUnavailable);
        const auto page = co_await m_client.read("config", 0, 10, Millis(0));
        CHECK_TRUE(page->records == (std::vector<LogRecord> { { 0, "kept" } }));
    });
}

// Guards against a call whose result is that of no call.
TEST(LogClient, responseThatBelongsToNoCallIsNotTakenForTheNextCalls)
{
    asio::ip::tcp::acceptor acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 });
    LogClient client(m_context, { "127.0.0.1", acceptor.local_endpoint().port() }, Seconds(20));
    std::vector<asio::ip::tcp::socket> connections;
    const auto respond = [&](std::string bytes) -> asio::awaitable<void> {
        connections.push_back(co_await acceptor.async_accept(asio::use_awaitable));
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        co_await http::async_read(connections.back(), buffer, request, asio::use_awaitable);
        co_await asio::async_write(connections.back(), asio::buffer(bytes), asio::use_awaitable);
    };
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":1}";
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":2}";
    run([&]() -> asio::awaitable<void> {
        asio::co_spawn(m_context, respond(first + first), asio::detached);
        LONGS_EQUAL(1, (co_await client.append("config", "one")).value());
        asio::co_spawn(m_context, respond(second), asio::detached);
        LONGS_EQUAL(2, (co_await client.append("config", "two")).value());
    });
}
