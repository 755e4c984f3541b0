#include "mulberryplank/net/streamframes.h"

#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include "frametesthelp.h"

using namespace mulberryplank;

namespace
{

std::string endFrame()
{
    return frame("");
}

// Returns the data of the frames in `bytes`.
std::string unwrap(FrameReader &reader, std::string bytes)
{
    bytes.resize(reader.unwrap(bytes.data(), bytes.size()));
    return bytes;
}

} // namespace

TEST_GROUP(StreamFrames) {};

TEST(StreamFrames, dataArrivesWholeInPiecesOfAnySize)
{
    CHECK_TRUE(rc::check("data in pieces", [](const std::vector<std::string> &parts) {
        std::string sent;
        std::string stream;
        for (const std::string &part : parts) {
            sent += part;
            stream += part.empty() ? "" : frame(part);
        }
        stream += endFrame();
        FrameReader reader;
        std::string received;
        while (!stream.empty()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
            RC_ASSERT_FALSE(reader.hasEnded());
            received += unwrap(reader, stream.substr(0, size));
            stream.erase(0, size);
        }
        RC_ASSERT(reader.hasEnded());
        RC_ASSERT(received == sent);
    }));
}

TEST(StreamFrames, streamHasNotEndedBeforeItsEndFrame)
{
    FrameReader reader;
    STRCMP_EQUAL("data", unwrap(reader, frame("data")).c_str());
    CHECK_FALSE(reader.hasEnded());
    CHECK_FALSE(reader.isInsideFrame());
}

TEST(StreamFrames, frameThatWasReadInPartIsReported)
{
    FrameReader reader;
    unwrap(reader, frame("data").substr(0, 2));
    CHECK_TRUE(reader.isInsideFrame());
    STRCMP_EQUAL("da", unwrap(reader, frame("data").substr(2, 4)).c_str());
    CHECK_TRUE(reader.isInsideFrame());
}

TEST(StreamFrames, bytesBehindTheEndAreDiscarded)
{
    FrameReader reader;
    STRCMP_EQUAL("data", unwrap(reader, frame("data") + endFrame() + frame("more")).c_str());
    CHECK_TRUE(reader.hasEnded());
    STRCMP_EQUAL("", unwrap(reader, frame("more")).c_str());
}
