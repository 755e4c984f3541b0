#include "mulberryplank/net/newsmessages.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(NewsMessages) {};

TEST(NewsMessages, newsArriveAsTheyWereSent)
{
    PeerNews news;
    news.version = 4;
    news.configuration = { { 4, 5, 6 }, 7, 8, "bytes" };
    news.hasTargets = true;
    news.upToDate = true;
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
    news.changed.push_back(target);
    const Result<PeerNews> read = decodePeerNews(encode(news));
    CHECK_EQUAL(4, read->version);
    CHECK_EQUAL(4, read->configuration.position.version);
    CHECK_EQUAL(5, read->configuration.position.digest);
    CHECK_EQUAL(6, read->configuration.position.begin);
    CHECK_EQUAL(7, read->configuration.size);
    CHECK_EQUAL(8, read->configuration.base);
    STRCMP_EQUAL("bytes", read->configuration.bytes.c_str());
    CHECK_TRUE(read->upToDate);
    CHECK_EQUAL(9, read->targetsNext);
    CHECK_TRUE(read->changed.front().sameState(target));
    CHECK_TRUE(read->changed.front().warmupLeft == target.warmupLeft);
    CHECK_EQUAL(12, read->changed.front().sequence);
}

TEST(NewsMessages, requestsAndHintsArriveAsTheyWereSent)
{
    PeerNewsRequest request;
    request.version = 3;
    request.wantsConfiguration = true;
    request.base = 9;
    request.next = { 4, 5, 6 };
    request.targetsNext = 7;
    const Result<PeerNewsRequest> read = decodePeerNewsRequest(encode(request));
    CHECK_EQUAL(3, read->version);
    CHECK_TRUE(read->wantsConfiguration);
    CHECK_EQUAL(9, read->base);
    CHECK_EQUAL(4, read->next.version);
    CHECK_EQUAL(5, read->next.digest);
    CHECK_EQUAL(6, read->next.begin);
    CHECK_EQUAL(7, read->targetsNext);
    CHECK_EQUAL(8, decodeNewsHint(encode(NewsHint { 8 }))->version);
}

TEST(NewsMessages, reportsArriveAsTheyWereSent)
{
    const std::vector<AttemptReport> reports { { targetKey(TargetName("i-1")), AttemptResult::Timeout, 1.5F, 300 } };
    const auto read = decodeAttemptReports(encode(reports));
    CHECK_TRUE(targetKey(TargetName("i-1")) == read->front().target);
    CHECK_TRUE(read->front().result == AttemptResult::Timeout);
    DOUBLES_EQUAL(1.5, read->front().logRatio, 1e-12);
    CHECK_EQUAL(300, read->front().ageMillis);
}

TEST(NewsMessages, bytesCutShortAreRefused)
{
    PeerNewsRequest request;
    const std::string bytes = encode(request);
    CHECK_FALSE(decodePeerNewsRequest(std::string_view(bytes).substr(0, bytes.size() - 1)).has_value());
}

// Before targets were told by a hash, a report took 54 bytes with names of the usual length.
TEST(NewsMessages, aReportTakesFifteenBytes)
{
    const std::vector<AttemptReport> one(1);
    const std::vector<AttemptReport> two(2);
    CHECK_EQUAL(15, encode(two).size() - encode(one).size());
}
