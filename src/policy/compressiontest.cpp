#include "mulberryplank/policy/compression.h"

#include <random>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

// Routes as operators write them: names that can't be told from each other's, among words that repeat.
std::string routes(std::size_t count, int weight)
{
    std::mt19937_64 random(1);
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
        text += R"({"id":"r-)" + std::to_string(random() % 100'000'000) + R"(","prefix":"/)"
                + std::to_string(random() % 100'000'000)
                + R"(/","kind":"idempotent","service":"addressbook","timeout":1500,"latency-goal":1500,)"
                + R"("max-attempts":2,"priority":2,"weight":)" + std::to_string(i == count / 2 ? weight : 1) + "}\n";
    }
    return text;
}

} // namespace

TEST_GROUP(Compression) {};

TEST(Compression, comesBackAsItWas)
{
    CHECK_TRUE(
        rc::check("packed, then unpacked with the same base", [](const std::string &bytes, const std::string &base) {
            const Result<std::string> back = decompress(compress(bytes, base), base);
            RC_ASSERT(back.has_value());
            RC_ASSERT(*back == bytes);
        }));
}

// Each change used to send the whole: some 830 KB for 5,000 routes.
TEST(Compression, oneChangedWeightOfFiveThousandRoutesTakesLessThanAKilobyte)
{
    const std::string before = routes(5'000, 1);
    const std::string after = routes(5'000, 7);
    CHECK_TRUE(after.size() > 800'000);
    const std::string compressed = compress(after, before);
    CHECK_TRUE(compressed.size() < 1'000);
    CHECK_TRUE(decompress(compressed, before) == after);
}

TEST(Compression, withoutABaseRoutesTakeAQuarterAtMost)
{
    const std::string bytes = routes(5'000, 1);
    CHECK_TRUE(compress(bytes, "").size() < bytes.size() / 4);
}

TEST(Compression, anotherBaseIsNoticed)
{
    const std::string before = routes(5'000, 1);
    const std::string compressed = compress(routes(5'000, 7), before);
    std::string other = before;
    other[other.size() / 4] = '?';
    CHECK_FALSE(decompress(compressed, other).has_value());
    CHECK_FALSE(decompress(compressed, "").has_value());
}

TEST(Compression, bytesOfAnyKindAreRefusedOrUnpacked)
{
    CHECK_TRUE(rc::check("no bytes make it fail otherwise", [](const std::string &bytes, std::size_t at, char with) {
        static_cast<void>(decompress(bytes, ""));
        std::string compressed = compress(routes(20, 1), "");
        compressed[at % compressed.size()] = with;
        const Result<std::string> back = decompress(compressed, "");
        RC_ASSERT(!back || *back == routes(20, 1));
    }));
}
