#include "mulberryplank/net/crashmessages.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(CrashMessages) {};

TEST(CrashMessages, CrashesSurviveEncoding)
{
    CrashMessage message;
    message.crashes.push_back({ 7, Millis(20), { { RequestFingerprint { 8 }, Millis(90) } } });
    message.cleared.push_back(RequestFingerprint { 9 });
    const Result<CrashMessage> read = decodeCrashMessage(encode(message));
    CHECK_TRUE(read.has_value());
    CHECK_EQUAL(7, read->crashes.front().target);
    CHECK_TRUE(read->crashes.front().age == Millis(20));
    CHECK_TRUE(read->crashes.front().suspects.front().request == RequestFingerprint { 8 });
    CHECK_TRUE(read->crashes.front().suspects.front().inFlightFor == Millis(90));
    CHECK_TRUE(read->cleared.front() == RequestFingerprint { 9 });
}

TEST(CrashMessages, QuarantinedRequestsSurviveEncoding)
{
    const auto read = decodeQuarantinedRequests(encode(std::vector { QuarantinedRequest { {}, Seconds(600) } }));
    CHECK_TRUE(read->front().left == Seconds(600));
}

TEST(CrashMessages, TruncatedBytesAreRejected)
{
    const std::string bytes = encode(std::vector { QuarantinedRequest { {}, Seconds(600) } });
    CHECK_FALSE(decodeQuarantinedRequests(std::string_view(bytes).substr(0, bytes.size() - 1)).has_value());
}

// Guards against reports that don't fit a datagram of 1,400 bytes.
TEST(CrashMessages, LargestMessagesFitADatagram)
{
    constexpr std::size_t DatagramPayload = 1'000;
    const std::vector<CrashSuspect> suspects(32, CrashSuspect { {}, Seconds(60) });
    CHECK_TRUE(encode(CrashMessage { { { 1, Seconds(1), suspects } }, {} }).size() <= DatagramPayload);
    const std::vector<QuarantinedRequest> requests(64, QuarantinedRequest { {}, Seconds(600) });
    CHECK_TRUE(encode(requests).size() <= DatagramPayload);
}
