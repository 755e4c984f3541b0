#include "mulberryplank/net/seedpublisher.h"

#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

#include "fakekeyedstore.h"
#include "rununtil.h"

using namespace mulberryplank;

namespace
{

FleetSeed seedOf(const std::string &vm)
{
    return { VmName(vm), { vm, 7'000 }, FailureDomain("hall") };
}

// A process with its members, on a fake store in which others are registered.
class PublisherFixture
{
public:
    PublisherFixture()
        : store(context)
    {
        settings.interval = Millis(1);
        settings.settleTime = Millis(1);
        settings.isolationTimeout = Millis(1);
        members.push_back(member("own", 1));
    }

    static Member member(const std::string &vm, Incarnation incarnation, std::uint32_t capacity = 100)
    {
        Member member;
        member.vm = VmName(vm);
        member.incarnation = incarnation;
        member.failureDomain = FailureDomain("hall");
        member.capacity = capacity;
        return member;
    }

    void start(const std::vector<std::string> &registered)
    {
        std::vector<FleetSeed> seeds;
        for (const std::string &vm : registered) {
            store.put(KeyedTopic::Fleet, "vm/" + vm, vm + ":7000");
            seeds.push_back(seedOf(vm));
        }
        SeedPublisherHooks hooks;
        hooks.members = [this] {
            ++memberReads;
            return members;
        };
        hooks.isUnresponsive = [this](const Endpoint &seed) {
            return unresponsive.contains(seed.host);
        };
        hooks.seedsFound = [this](const std::vector<FleetSeed> &refreshed) {
            found = refreshed;
        };
        hooks.fleetKey = [] {
            return "key";
        };
        hooks.keyFound = [this](const std::string &key) {
            keysFound.push_back(key);
        };
        const EventSink events = [this](Event event, std::initializer_list<EventField>) {
            failures += event == Event::NewsReadFailed ? 1 : 0;
        };
        publisher = std::make_unique<SeedPublisher>(
            context, store.access(), seedOf("own"), 1, settings, std::move(hooks), events);
        publisher->start(std::move(seeds));
    }

    // Starts as the only seed of a fleet with a key, which the store holds before the seed, and lets the store come
    // back without its last `lost` records. The publisher isn't told.
    void startAndLose(std::size_t lost)
    {
        settings.minCheckTime = Millis(1);
        store.put(KeyedTopic::Fleet, "key", "key");
        start({ "own" });
        store.loseLast(KeyedTopic::Fleet, lost);
    }

    // Runs until the members have been read this many more times.
    void runUntilMemberReads(int times)
    {
        const int until = memberReads + times;
        CHECK_TRUE(runUntil(context, [&] {
            return memberReads >= until;
        }));
    }

    std::map<std::string, std::string> records()
    {
        std::map<std::string, std::string> values;
        const auto read = [&]() -> boost::asio::awaitable<void> {
            const KeyedStore access = store.access();
            const Result<KeyedSnapshot> snapshot = co_await access.newest(KeyedTopic::Fleet);
            for (const KeyedRecord &record : snapshot->records) {
                values[record.key] = *record.value;
            }
        };
        boost::asio::co_spawn(context, read(), boost::asio::detached);
        runUntil(context, [&] {
            return !values.empty();
        });
        return values;
    }

    int appends()
    {
        return store.calls["append fleet"];
    }

    boost::asio::io_context context;
    FakeKeyedStore store;
    SeedPublisherSettings settings;
    std::vector<Member> members;
    std::set<std::string> unresponsive;
    std::vector<FleetSeed> found;
    std::vector<std::string> keysFound;
    std::unique_ptr<SeedPublisher> publisher;
    int memberReads = 0;
    int failures = 0;
};

} // namespace

TEST_GROUP(SeedPublisher) {};

TEST(SeedPublisher, strongestProcessRegistersItselfOnce)
{
    PublisherFixture fixture;
    fixture.members.push_back(PublisherFixture::member("other", 2));
    fixture.members[0].capacity = 500;
    fixture.settings.seedsPerDomain = 1;
    fixture.start({ "other" });
    fixture.runUntilMemberReads(10);
    CHECK_EQUAL(1, fixture.appends());
}

TEST(SeedPublisher, registeredOrWeakProcessWritesNothing)
{
    for (const bool registered : { true, false }) {
        PublisherFixture fixture;
        fixture.settings.seedsPerDomain = 1;
        fixture.members.push_back(PublisherFixture::member("other", 2, registered ? 50 : 500));
        fixture.start(registered ? std::vector<std::string> { "own", "other" } : std::vector<std::string> { "other" });
        fixture.runUntilMemberReads(10);
        CHECK_EQUAL(0, fixture.appends());
    }
}

TEST(SeedPublisher, processReplacesASeedThatDied)
{
    PublisherFixture fixture;
    fixture.settings.seedsPerDomain = 1;
    fixture.members.push_back(PublisherFixture::member("stronger", 2, 500));
    fixture.members.push_back(PublisherFixture::member("far", 3));
    fixture.members.back().failureDomain = FailureDomain("other hall");
    fixture.start({ "stronger", "far" });
    fixture.runUntilMemberReads(10);
    CHECK_EQUAL(0, fixture.appends());
    fixture.members[1].status = MemberStatus::Dead;
    fixture.runUntilMemberReads(10);
    CHECK_EQUAL(1, fixture.appends());
}

// Guards against a restarted process that stays isolated and serves forever with only its own knowledge.
TEST(SeedPublisher, isolatedProcessReadsTheSeedsAgain)
{
    PublisherFixture fixture;
    fixture.start({ "gone" });
    fixture.store.put(KeyedTopic::Fleet, "vm/new", "new:7000");
    CHECK_TRUE(runUntil(fixture.context, [&] {
        return fixture.found.size() >= 2;
    }));
}

TEST(SeedPublisher, processThatKnowsOtherMembersReadsNothing)
{
    PublisherFixture fixture;
    fixture.members.push_back(PublisherFixture::member("other", 2));
    fixture.start({ "own", "other" });
    fixture.runUntilMemberReads(20);
    CHECK_EQUAL(0, fixture.store.calls.size());
}

// Guards against a store that gets a call each second from each seed after its recovery.
TEST(SeedPublisher, failedRegistrationIsNotRetriedAtEachCheck)
{
    PublisherFixture fixture;
    fixture.members.push_back(PublisherFixture::member("other", 2));
    fixture.store.inOutage = true;
    fixture.start({ "other" });
    fixture.runUntilMemberReads(20);
    CHECK_EQUAL(1, fixture.appends());
    CHECK_EQUAL(1, fixture.failures);
}

// Guards against a fleet that splits for good: a process that starts and finds no key creates another one.
TEST(SeedPublisher, keyAndSeedThatTheStoreLostAreWrittenAgain)
{
    PublisherFixture fixture;
    fixture.startAndLose(2);
    fixture.publisher->storeWentBack();
    fixture.runUntilMemberReads(10);
    STRCMP_EQUAL("key", fixture.records()["key"].c_str());
    CHECK_TRUE(fixture.records().contains("vm/own"));
    CHECK_EQUAL(1, fixture.appends());
    CHECK_TRUE(fixture.keysFound.empty());
}

TEST(SeedPublisher, seedThatTheStoreLostIsWrittenAgain)
{
    PublisherFixture fixture;
    fixture.startAndLose(1);
    fixture.publisher->storeWentBack();
    fixture.runUntilMemberReads(10);
    CHECK_TRUE(fixture.records().contains("vm/own"));
}

TEST(SeedPublisher, keyThatAnotherProcessCreatedAfterTheLossIsUsed)
{
    PublisherFixture fixture;
    fixture.startAndLose(2);
    fixture.store.put(KeyedTopic::Fleet, "key", "another key");
    fixture.store.put(KeyedTopic::Fleet, "vm/new", "new:7000");
    fixture.publisher->storeWentBack();
    fixture.runUntilMemberReads(10);
    CHECK_EQUAL(1, fixture.keysFound.size());
    STRCMP_EQUAL("another key", fixture.keysFound.front().c_str());
    CHECK_TRUE(fixture.found.size() >= 1);
    STRCMP_EQUAL("another key", fixture.records()["key"].c_str());
}

TEST(SeedPublisher, recordsAreReadAgainUntilTheStoreResponds)
{
    PublisherFixture fixture;
    fixture.settings.minCheckTime = Millis(1);
    fixture.start({ "own" });
    fixture.store.loseLast(KeyedTopic::Fleet, 1);
    fixture.store.inOutage = true;
    fixture.publisher->storeWentBack();
    fixture.runUntilMemberReads(5);
    fixture.store.inOutage = false;
    fixture.runUntilMemberReads(10);
    STRCMP_EQUAL("key", fixture.records()["key"].c_str());
}

// Guards against a fleet that stays split because each part removes the seeds of the others from the store.
TEST(SeedPublisher, seedsOfUnknownProcessesStayRegistered)
{
    PublisherFixture fixture;
    fixture.members.push_back(PublisherFixture::member("known", 2));
    fixture.start({ "known", "unknown" });
    fixture.runUntilMemberReads(10);
    CHECK_TRUE(fixture.records().contains("vm/own"));
    CHECK_TRUE(fixture.records().contains("vm/unknown"));
}

TEST(SeedPublisher, unresponsiveSeedIsRemovedFromTheStore)
{
    PublisherFixture fixture;
    fixture.members.push_back(PublisherFixture::member("known", 2));
    fixture.unresponsive = { "gone" };
    fixture.start({ "known", "gone" });
    fixture.runUntilMemberReads(10);
    CHECK_FALSE(fixture.records().contains("vm/gone"));
}

// Guards against parts of a fleet that never find each other after they have started with different seeds.
TEST(SeedPublisher, registeredProcessFindsSeedsThatWereRegisteredLater)
{
    PublisherFixture fixture;
    fixture.settings.recordsInterval = Millis(1);
    fixture.members.push_back(PublisherFixture::member("known", 2));
    fixture.store.put(KeyedTopic::Fleet, "key", "key");
    fixture.start({ "own", "known" });
    fixture.store.put(KeyedTopic::Fleet, "vm/later", "later:7000");
    CHECK_TRUE(runUntil(fixture.context, [&] {
        return fixture.found.size() == 3;
    }));
}

// Guards against a seed that others have removed while it was cut off from them.
TEST(SeedPublisher, registeredProcessThatOthersRemovedRegistersItselfAgain)
{
    PublisherFixture fixture;
    fixture.settings.recordsInterval = Millis(1);
    fixture.members.push_back(PublisherFixture::member("known", 2));
    fixture.store.put(KeyedTopic::Fleet, "key", "key");
    fixture.start({ "own", "known" });
    fixture.store.put(KeyedTopic::Fleet, "vm/own", std::nullopt);
    CHECK_TRUE(runUntil(fixture.context, [&] {
        return fixture.appends() == 1;
    }));
}

// Guards against processes that each grant whole limits for seconds after all seeds were lost with the power.
TEST(SeedPublisher, isolatedProcessRegistersItselfOnceNoSeedResponds)
{
    for (const bool responds : { false, true }) {
        PublisherFixture fixture;
        fixture.settings.settleTime = Seconds(100);
        fixture.store.put(KeyedTopic::Fleet, "key", "key");
        fixture.unresponsive = responds ? std::set<std::string> {} : std::set<std::string> { "gone" };
        fixture.start({ "gone" });
        fixture.runUntilMemberReads(20);
        CHECK_EQUAL(responds ? 0 : 1, fixture.appends());
    }
}
