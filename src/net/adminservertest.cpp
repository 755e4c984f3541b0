#include "mulberryplank/net/adminserver.h"

#include <CppUTest/TestHarness.h>

#include "pathtesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

constexpr const char *Key = "0123456789abcdef0123456789abcdef";
constexpr std::size_t LargeBody = 100'000; // bytes

std::string post(const std::string &fields)
{
    return "POST /echo HTTP/1.1\r\nHost: p\r\n" + fields;
}

} // namespace

// A server that responds with the size of the body.
TEST_GROUP(AdminServer)
{
    asio::io_context context;
    Endpoint address = freeEndpoint();
    AdminServer server { context,
                         address,
                         { Key },
                         { "/echo" },
                         [](AdminRequest request) -> asio::awaitable<AdminResponse> {
                             AdminResponse response;
                             response.body = std::to_string(request.body.size());
                             co_return response;
                         },
                         [](Event, std::initializer_list<EventField>) {} };
    std::thread thread;

    void setup() override
    {
        server.start();
        thread = std::thread([this] {
            context.run();
        });
    }

    void teardown() override
    {
        context.stop();
        thread.join();
    }
};

TEST(AdminServer, operatorsMaySendLargeBodies)
{
    Peer caller(address);
    caller.write(post("Authorization: Bearer " + std::string(Key) + "\r\nContent-Length: 100000\r\n\r\n")
                 + std::string(LargeBody, 'b'));
    CHECK_TRUE(caller.readHeader().starts_with("HTTP/1.1 200"));
    STRCMP_EQUAL("100000", caller.read(6).c_str());
}

TEST(AdminServer, requestsWithoutAKeyMayHaveSmallBodies)
{
    Peer caller(address);
    caller.write(post("Content-Length: 4\r\n\r\nbody"));
    CHECK_TRUE(caller.readHeader().starts_with("HTTP/1.1 200"));
    STRCMP_EQUAL("4", caller.read(1).c_str());
}

// Guards against a process that runs out of memory because of requests without a key.
TEST(AdminServer, connectionEndsWhenARequestWithoutAKeyHasALargeBody)
{
    for (const std::string &framing : { std::string("Content-Length: 100000\r\n\r\n"),
                                        std::string("Transfer-Encoding: chunked\r\n\r\n186a0\r\n") }) {
        Peer caller(address);
        caller.write(post(framing) + std::string(LargeBody / 2, 'b'));
        STRCMP_EQUAL("", caller.readToEnd().c_str());
        CHECK_TRUE(caller.endReason() != asio::error::timed_out);
    }
}
