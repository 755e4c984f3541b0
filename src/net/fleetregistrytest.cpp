#include "mulberryplank/net/fleetregistry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

#include "fakekeyedstore.h"
#include "rununtil.h"

using namespace mulberryplank;

namespace
{

class RegistryFixture
{
public:
    RegistryFixture()
        : store(context)
    {
    }

    // Lets a process join that would create its own key.
    void join(const std::string &vm)
    {
        boost::asio::co_spawn(context, joinAs(vm), boost::asio::detached);
    }

    boost::asio::awaitable<void> joinAs(std::string vm)
    {
        FleetRegistrySettings settings;
        settings.self = { VmName(vm), { vm, 7'000 }, FailureDomain("hall") };
        settings.firstStart = firstStart;
        settings.retryInterval = Millis(1);
        settings.maxStartJitter = maxStartJitter;
        const std::function<std::string()> key = [vm] {
            return "key of " + vm;
        };
        const std::function<double()> jitter = [this] {
            return m_jitter += 0.1;
        };
        const KeyedStore access = store.access();
        joined[vm] = co_await joinFleet(context, access, settings, key, jitter);
    }

    bool runUntilJoined(std::size_t count)
    {
        runUntil(context, [this, count] {
            return joined.size() >= count;
        });
        return joined.size() == count;
    }

    boost::asio::io_context context;
    FakeKeyedStore store;
    bool firstStart = false;
    Millis maxStartJitter { 1 };
    std::map<std::string, FleetBootstrap> joined;

private:
    double m_jitter = 0;
};

} // namespace

TEST_GROUP(FleetRegistry) {};

TEST(FleetRegistry, firstProcessCreatesTheKeyAndLaterOnesFindTheKeyAndSeeds)
{
    RegistryFixture registry;
    registry.join("10.0.0.1");
    CHECK_TRUE(registry.runUntilJoined(1));
    registry.join("10.0.0.2");
    CHECK_TRUE(registry.runUntilJoined(2));
    STRCMP_EQUAL("key of 10.0.0.1", registry.joined["10.0.0.2"].key.c_str());
    STRCMP_EQUAL("10.0.0.1:7000", toString(registry.joined["10.0.0.2"].seeds.front().peer).c_str());
}

// Guards against a fleet that splits into two parts that don't communicate.
TEST(FleetRegistry, processesThatStartTogetherAgreeOnOneKey)
{
    RegistryFixture registry;
    for (int index = 1; index <= 8; ++index) {
        registry.join("10.0.0." + std::to_string(index));
    }
    CHECK_TRUE(registry.runUntilJoined(8));
    for (const auto &[vm, entry] : registry.joined) {
        STRCMP_EQUAL(registry.joined.begin()->second.key.c_str(), entry.key.c_str());
    }
}

TEST(FleetRegistry, keyWhoseAppendHadNoResponseIsFoundAgain)
{
    RegistryFixture registry;
    registry.store.lostAppends = 1;
    registry.join("10.0.0.1");
    CHECK_TRUE(registry.runUntilJoined(1));
    registry.join("10.0.0.2");
    CHECK_TRUE(registry.runUntilJoined(2));
    STRCMP_EQUAL("key of 10.0.0.1", registry.joined["10.0.0.2"].key.c_str());
}

TEST(FleetRegistry, joinRetriesUntilTheStoreIsAvailable)
{
    RegistryFixture registry;
    registry.store.failuresLeft = 5;
    registry.join("10.0.0.1");
    CHECK_TRUE(registry.runUntilJoined(1));
}

// Guards against store calls per process at a fleet's start that grow with the number of processes.
TEST(FleetRegistry, firstStartOfManyCostsOneReadEachAndOneAppend)
{
    constexpr int Processes = 64;
    RegistryFixture registry;
    registry.firstStart = true;
    registry.maxStartJitter = Millis(50);
    for (int index = 0; index < Processes; ++index) {
        registry.join("10.0.0." + std::to_string(index));
    }
    CHECK_TRUE(registry.runUntilJoined(Processes));
    CHECK_EQUAL(Processes, registry.store.calls["read fleet"]);
    CHECK_EQUAL(1, registry.store.calls["append fleet"]);
    CHECK_EQUAL(0, registry.store.calls["newest fleet"]);
}

TEST(FleetRegistry, laterStartCostsOneReadAndNoAppend)
{
    RegistryFixture registry;
    registry.join("10.0.0.1");
    CHECK_TRUE(registry.runUntilJoined(1));
    registry.store.calls.clear();
    registry.join("10.0.0.2");
    CHECK_TRUE(registry.runUntilJoined(2));
    CHECK_EQUAL(1, registry.store.calls["newest fleet"]);
    CHECK_EQUAL(1, registry.store.calls.size());
}

// Guards against a process that never joins when the platform wrongly reports a first start.
TEST(FleetRegistry, wronglyAnnouncedFirstStartFindsTheKeyAfterItsHistoryExpired)
{
    RegistryFixture registry;
    registry.join("10.0.0.1");
    CHECK_TRUE(registry.runUntilJoined(1));
    registry.store.dropHistory(KeyedTopic::Fleet);
    registry.firstStart = true;
    registry.join("10.0.0.2");
    CHECK_TRUE(registry.runUntilJoined(2));
    STRCMP_EQUAL("key of 10.0.0.1", registry.joined["10.0.0.2"].key.c_str());
}

TEST(FleetRegistry, registeringASeedRemovesTheGivenSeeds)
{
    RegistryFixture registry;
    registry.join("10.0.0.1");
    CHECK_TRUE(registry.runUntilJoined(1));
    const std::function<boost::asio::awaitable<void>()> name = [&registry]() -> boost::asio::awaitable<void> {
        const KeyedStore access = registry.store.access();
        const FleetSeed seed { VmName("10.0.0.7"), { "10.0.0.7", 7'000 }, FailureDomain("hall") };
        const std::vector<VmName> removed { VmName("10.0.0.1") };
        co_await registerSeed(access, seed, removed);
    };
    boost::asio::co_spawn(registry.context, name, boost::asio::detached);
    registry.context.restart();
    registry.context.run_for(Millis(20));
    registry.join("10.0.0.2");
    CHECK_TRUE(registry.runUntilJoined(2));
    const std::vector<FleetSeed> &seeds = registry.joined["10.0.0.2"].seeds;
    CHECK_EQUAL(1, seeds.size());
    STRCMP_EQUAL("10.0.0.7", seeds.front().vm.value().c_str());
    STRCMP_EQUAL("hall", seeds.front().failureDomain.value().c_str());
}
