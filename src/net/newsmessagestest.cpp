#include "mulberryplank/net/newsmessages.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(NewsMessages) {};

TEST(NewsMessages, newsArriveAsTheyWereSent)
{
    PeerNews news;
    news.configuration = "bytes";
    news.hasTargets = true;
    news.ageMillis = 250;
    news.targetsNext = 9;
    news.listOwner = 1;
    news.listVersion = 2;
    AnnouncedTarget target;
    target.id = TargetName("i-1");
    target.service = ServiceName("s");
    target.endpoint = { "10.0.0.1", 80 };
    target.failureDomain = FailureDomain("hall");
    target.slots = 4;
    target.draining = true;
    target.warmupLeft = Millis(300);
    target.sequence = 12;
    news.targets.push_back(target);
    const Result<PeerNews> read = decodePeerNews(encode(news));
    STRCMP_EQUAL("bytes", read->configuration.c_str());
    CHECK_EQUAL(9, read->targetsNext);
    CHECK_TRUE(read->targets.front().sameState(target));
    CHECK_TRUE(read->targets.front().warmupLeft == target.warmupLeft);
    CHECK_EQUAL(12, read->targets.front().sequence);
}

TEST(NewsMessages, reportsArriveAsTheyWereSent)
{
    AttemptNews news;
    news.attempts = { { ServiceName("s"), TargetName("i-1"), AttemptResult::Timeout, 1.5 } };
    news.ends = { { ServiceName("s"), 3, 4 } };
    const Result<AttemptNews> read = decodeAttemptNews(encode(news));
    STRCMP_EQUAL("i-1", read->attempts.front().target.value().c_str());
    CHECK_TRUE(read->attempts.front().result == AttemptResult::Timeout);
    DOUBLES_EQUAL(1.5, read->attempts.front().logRatio, 1e-12);
    CHECK_EQUAL(3, read->ends.front().served);
    CHECK_EQUAL(4, read->ends.front().failed);
}

TEST(NewsMessages, bytesCutShortAreRefused)
{
    PeerNewsRequest request;
    const std::string bytes = encode(request);
    CHECK_FALSE(decodePeerNewsRequest(std::string_view(bytes).substr(0, bytes.size() - 1)).has_value());
}
