#include "mulberryplank/net/domainloadmessages.h"

#include <limits>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

DomainLoadMessage messageWith(float demand, float capacity)
{
    return { FailureDomain("d"), { { ServiceName("s"), demand, capacity } } };
}

} // namespace

TEST_GROUP(DomainLoadMessages) {};

TEST(DomainLoadMessages, reportsSurviveEncoding)
{
    const Result<DomainLoadMessage> read = decodeDomainLoadMessage(encode(messageWith(12.5F, 80)));
    STRCMP_EQUAL("d", read->domain.value().c_str());
    STRCMP_EQUAL("s", read->services.front().service.value().c_str());
    DOUBLES_EQUAL(12.5, read->services.front().demand, 1e-6);
    DOUBLES_EQUAL(80, read->services.front().capacity, 1e-6);
}

TEST(DomainLoadMessages, truncatedBytesAndImpossibleNumbersAreRejected)
{
    const std::string bytes = encode(messageWith(1, 2));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeDomainLoadMessage(std::string_view(bytes).substr(0, size)).has_value());
    }
    constexpr float Nan = std::numeric_limits<float>::quiet_NaN();
    constexpr float Infinite = std::numeric_limits<float>::infinity();
    for (const DomainLoadMessage &message :
         { messageWith(-1, 1), messageWith(1, -1), messageWith(Nan, 1), messageWith(1, Infinite) }) {
        CHECK_FALSE(decodeDomainLoadMessage(encode(message)).has_value());
    }
}

// Guards against messages that don't fit a datagram of 1,400 bytes.
TEST(DomainLoadMessages, largestMessageFitsADatagram)
{
    constexpr std::size_t DatagramPayload = 1'000;
    const ServiceLoad load { ServiceName(std::string(64, 's')), 1, 1 };
    const DomainLoadMessage message { FailureDomain(std::string(64, 'd')),
                                      std::vector<ServiceLoad>(ServiceLoadsPerDatagram, load) };
    CHECK_TRUE(encode(message).size() <= DatagramPayload);
}

TEST(DomainLoadMessages, anyBytesAreDecodedOrRejected)
{
    CHECK_TRUE(rc::check("any bytes", [](const std::string &bytes) {
        static_cast<void>(decodeDomainLoadMessage(bytes));
    }));
}
