#include "mulberryplank/policy/ipaddress.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(IpAddress) {};

TEST(IpAddress, addressesOfBothVersionsAreAccepted)
{
    CHECK_TRUE(isIpAddress("127.0.0.1"));
    CHECK_TRUE(isIpAddress("::1"));
}

TEST(IpAddress, anythingElseIsNot)
{
    for (const char *text : { "", "host", "127.0.0", "127.0.0.1.5", "127.0.0.256", "[::1]", "127.0.0.1 ", "0x7f.1" }) {
        CHECK_FALSE_TEXT(isIpAddress(text), text);
    }
    CHECK_FALSE(isIpAddress(std::string("127.0.0.1\0", 10)));
}
