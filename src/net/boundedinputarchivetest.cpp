#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mulberryplank/net/cerealcodec.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(BoundedInputArchive) {};

namespace
{

constexpr std::size_t LengthOffset = 1; // after the byte order
constexpr std::uint64_t ClaimedSize = std::uint64_t { 1 } << 62U;

// Returns the encoded `value` with the length of its first string or container replaced.
template<typename T>
std::string withClaimedSize(const T &value, std::uint64_t size)
{
    std::string bytes = cerealEncode(value);
    return bytes.replace(LengthOffset, sizeof(size), cerealEncode(size).substr(LengthOffset));
}

} // namespace

TEST(BoundedInputArchive, readsWhatWasWritten)
{
    const std::vector<std::string> names { "press", "", "desk" };
    CHECK_TRUE(cerealDecode<std::vector<std::string>>(cerealEncode(names)) == names);
    CHECK_TRUE(cerealDecode<std::vector<double>>(cerealEncode(std::vector { 0.5, -2.0 }))
               == std::vector({ 0.5, -2.0 }));
    CHECK_TRUE(cerealDecode<bool>(cerealEncode(true)).value());
}

// Guards against a few bytes that make the decoder allocate all memory.
TEST(BoundedInputArchive, sizeAboveTheBytesLeftIsRejectedBeforeMemoryIsAllocated)
{
    const auto text = cerealDecode<std::string>(withClaimedSize(std::string("press"), ClaimedSize));
    CHECK_FALSE(text.has_value());
    STRCMP_EQUAL("size of 4611686018427387904 elements exceeds the 5 bytes left", text.error().detail.c_str());
    const auto numbers = cerealDecode<std::vector<int>>(withClaimedSize(std::vector { 1, 2 }, 9));
    CHECK_FALSE(numbers.has_value());
    STRCMP_EQUAL("size of 9 elements exceeds the 8 bytes left", numbers.error().detail.c_str());
}

TEST(BoundedInputArchive, byteThatIsNoTruthValueIsRejected)
{
    CHECK_FALSE(cerealDecode<bool>(cerealEncode(std::uint8_t { 2 })).has_value());
}
