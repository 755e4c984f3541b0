#include "mulberryplank/net/updatemessages.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr std::size_t ExpiredSize = 16; // bytes of the last fields of an update: no expired entries, and the era's age

} // namespace

TEST_GROUP(UpdateMessages) {};

TEST(UpdateMessages, updateSurvivesEncoding)
{
    PeerUpdate update;
    update.version = 4;
    update.configuration = { { 4, 5, 6 }, 7, 8, "bytes" };
    update.hasTargets = true;
    update.upToDate = true;
    update.ageMillis = 250;
    update.targetsNext = { 2, 9 };
    update.storeEra = 3;
    update.listOwner = 1;
    update.listVersion = 2;
    AnnouncedTarget target;
    target.id = TargetName("i-1");
    target.service = ServiceName("s");
    target.endpoint = { "10.0.0.1", 80 };
    target.failureDomain = FailureDomain("hall");
    target.slots = 4;
    target.draining = true;
    target.warmupLeft = Millis(300);
    target.sequence = 12;
    update.changed.push_back(target);
    update.expired.push_back(target.id);
    update.eraAgeMillis = 1'200;
    const Result<PeerUpdate> read = decodePeerUpdate(encode(update));
    CHECK_EQUAL(4, read->version);
    CHECK_EQUAL(4, read->configuration.position.version);
    CHECK_EQUAL(5, read->configuration.position.digest);
    CHECK_EQUAL(6, read->configuration.position.begin);
    CHECK_EQUAL(7, read->configuration.size);
    CHECK_EQUAL(8, read->configuration.base);
    STRCMP_EQUAL("bytes", read->configuration.bytes.c_str());
    CHECK_TRUE(read->upToDate);
    CHECK_TRUE(read->targetsNext == update.targetsNext);
    CHECK_EQUAL(3, read->storeEra);
    CHECK_TRUE(read->changed.front().sameState(target));
    CHECK_TRUE(read->changed.front().warmupLeft == target.warmupLeft);
    CHECK_EQUAL(12, read->changed.front().sequence);
    CHECK_TRUE(read->expired == update.expired);
    CHECK_EQUAL(1'200, read->eraAgeMillis);
}

TEST(UpdateMessages, requestsAndHintsSurviveEncoding)
{
    PeerUpdateRequest request;
    request.version = 3;
    request.wantsConfiguration = true;
    request.base = 9;
    request.next = { 4, 5, 6 };
    request.targetsNext = { 2, 7 };
    request.storeEra = 3;
    const Result<PeerUpdateRequest> read = decodePeerUpdateRequest(encode(request));
    CHECK_EQUAL(3, read->version);
    CHECK_TRUE(read->wantsConfiguration);
    CHECK_EQUAL(9, read->base);
    CHECK_EQUAL(4, read->next.version);
    CHECK_EQUAL(5, read->next.digest);
    CHECK_EQUAL(6, read->next.begin);
    CHECK_TRUE(read->targetsNext == request.targetsNext);
    CHECK_EQUAL(3, read->storeEra);
    CHECK_EQUAL(8, decodeUpdateHint(encode(UpdateHint { 8 }))->version);
}

TEST(UpdateMessages, reportsSurviveEncoding)
{
    const std::vector<AttemptReport> reports { { targetKey(TargetName("i-1")), AttemptResult::Timeout, 1.5F, 300 } };
    const auto read = decodeAttemptReports(encode(reports));
    CHECK_TRUE(targetKey(TargetName("i-1")) == read->front().target);
    CHECK_TRUE(read->front().result == AttemptResult::Timeout);
    DOUBLES_EQUAL(1.5, read->front().logRatio, 1e-12);
    CHECK_EQUAL(300, read->front().ageMillis);
}

TEST(UpdateMessages, truncatedBytesAreRejected)
{
    PeerUpdateRequest request;
    const std::string bytes = encode(request);
    CHECK_FALSE(decodePeerUpdateRequest(std::string_view(bytes).substr(0, bytes.size() - 1)).has_value());
}

// With a target's name instead of its hash, a report took 54 bytes with names of the usual length.
TEST(UpdateMessages, aReportTakesFifteenBytes)
{
    const std::vector<AttemptReport> one(1);
    const std::vector<AttemptReport> two(2);
    CHECK_EQUAL(15, encode(two).size() - encode(one).size());
}

// Guards against a fleet that falls apart while its processes are replaced one by one.
TEST(UpdateMessages, messagesOfVersionsThatKnowNoErasAreRead)
{
    constexpr std::size_t ErasSize = 16; // bytes at the end
    PeerUpdateRequest request;
    request.targetsNext = { 2, 7 };
    std::string bytes = encode(request);
    bytes.resize(bytes.size() - ErasSize);
    CHECK_TRUE(decodePeerUpdateRequest(bytes)->targetsNext == StorePosition({ 0, 7 }));
    PeerUpdate update;
    update.targetsNext = { 2, 9 };
    bytes = encode(update);
    bytes.resize(bytes.size() - ExpiredSize - ErasSize);
    CHECK_TRUE(decodePeerUpdate(bytes)->targetsNext == StorePosition({ 0, 9 }));
}

// Guards against the same while processes don't tell which entries have expired.
TEST(UpdateMessages, updatesOfVersionsThatSendNoExpiredEntriesAreRead)
{
    PeerUpdate update;
    update.targetsNext = { 2, 9 };
    std::string bytes = encode(update);
    bytes.resize(bytes.size() - ExpiredSize);
    CHECK_TRUE(decodePeerUpdate(bytes)->targetsNext == StorePosition({ 2, 9 }));
    CHECK_TRUE(decodePeerUpdate(bytes)->expired.empty());
}
