#include "mulberryplank/net/logclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
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

// The platform is away, then its answer to an append is lost after the write took effect.
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
