#include "mulberryplank/net/httpget.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/http/error.hpp>

#include "pathtesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

constexpr std::size_t MaxBodyBytes = 1'000;

} // namespace

TEST_GROUP(HttpGet)
{
    ScriptedTarget target;
    asio::io_context context;

    // Requests a page whose response has these bytes after its status line.
    HttpGetResponse responseTo(const std::string &bytes)
    {
        auto result = asio::co_spawn(context,
                                     httpGet(context, { HostNumber, target.port() }, "/page", WaitLimit, MaxBodyBytes),
                                     asio::use_future);
        std::thread requester([this] {
            context.run();
        });
        Peer connection = target.accept();
        connection.readHeader();
        connection.write("HTTP/1.1 200 OK\r\n" + bytes);
        const HttpGetResponse response = result.get();
        requester.join();
        return response;
    }
};

TEST(HttpGet, bodyWithinTheBoundIsReturned)
{
    const std::string body(MaxBodyBytes, 'b');
    const HttpGetResponse response = responseTo("Content-Length: 1000\r\n\r\n" + body);
    CHECK_FALSE(response.error);
    STRCMP_EQUAL(body.c_str(), response.body.c_str());
}

// Guards against status checks that take the memory of the process because of targets that send without end.
TEST(HttpGet, bodyBeyondTheBoundIsAnError)
{
    const std::string body(2 * MaxBodyBytes, 'b');
    CHECK_TRUE(responseTo("\r\n" + body).error == boost::beast::http::error::body_limit);
}

TEST(HttpGet, lengthBeyondTheBoundIsAnError)
{
    CHECK_TRUE(responseTo("Content-Length: 1001\r\n\r\n").error == boost::beast::http::error::body_limit);
}
