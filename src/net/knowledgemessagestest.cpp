#include "mulberryplank/net/knowledgemessages.h"

#include <cmath>
#include <limits>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };

KnowledgeMessage messageWith(float faultProbability, float load)
{
    return { ServiceName("s"), { { 7, faultProbability, load, 300 } } };
}

} // namespace

TEST_GROUP(KnowledgeMessages) {};

TEST(KnowledgeMessages, knowledgeSurvivesEncoding)
{
    const TargetKnowledge known { TargetName("t-1"), 0.25, 3, Start - Millis(300) };
    const auto read =
        decodeKnowledgeMessage(encode(KnowledgeMessage { ServiceName("s"), { knowledgeReport(known, Start) } }));
    STRCMP_EQUAL("s", read->service.value().c_str());
    CHECK_EQUAL(targetKey(TargetName("t-1")), read->reports.front().target);
    const TargetKnowledge received = knowledgeOf(read->reports.front(), TargetName("t-1"), Start);
    DOUBLES_EQUAL(0.25, received.faultProbability, 1e-6);
    DOUBLES_EQUAL(3, received.load, 1e-6);
    CHECK_TRUE(received.usedAt == known.usedAt);
}

TEST(KnowledgeMessages, truncatedBytesAndImpossibleNumbersAreRejected)
{
    const std::string bytes = encode(messageWith(0.5, 1));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeKnowledgeMessage(std::string_view(bytes).substr(0, size)).has_value());
    }
    constexpr float Nan = std::numeric_limits<float>::quiet_NaN();
    for (const KnowledgeMessage &message : { messageWith(-0.1F, 1),
                                             messageWith(1.1F, 1),
                                             messageWith(Nan, 1),
                                             messageWith(0, -1),
                                             messageWith(0, Nan) }) {
        CHECK_FALSE(decodeKnowledgeMessage(encode(message)).has_value());
    }
}

// Guards against messages that don't fit a datagram of 1,400 bytes.
TEST(KnowledgeMessages, largestMessageFitsADatagram)
{
    constexpr std::size_t DatagramPayload = 1'000;
    const KnowledgeMessage message { ServiceName(std::string(64, 's')),
                                     std::vector(KnowledgeReportsPerDatagram, KnowledgeReport {}) };
    CHECK_TRUE(encode(message).size() <= DatagramPayload);
}

TEST(KnowledgeMessages, anyBytesAreDecodedOrRejected)
{
    CHECK_TRUE(rc::check("any bytes", [](const std::string &bytes) {
        const Result<KnowledgeMessage> message = decodeKnowledgeMessage(bytes);
        RC_ASSERT(!message || message->reports.size() <= bytes.size());
    }));
}
