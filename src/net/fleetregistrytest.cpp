#include "mulberryplank/net/fleetregistry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

#include "fakekeyedstore.h"

using namespace mulberryplank;

namespace
{

constexpr Seconds WaitLimit { 20 }; // only bounds how long a broken registry can hang

class Registry
{
public:
    Registry()
        : store(context)
    {
    }

    // Lets a process join, with a key of its own at hand.
    void join(const std::string &vm)
    {
        boost::asio::co_spawn(context, joinAs(vm), boost::asio::detached);
    }

    boost::asio::awaitable<void> joinAs(std::string vm)
    {
        FleetRegistrySettings settings;
        settings.vm = VmName(vm);
        settings.peer = { vm, 7'000 };
        settings.retryPause = Millis(1);
        settings.mostSpread = Millis(1);
        const std::function<std::string()> key = [vm] {
            return "key of " + vm;
        };
        const std::function<double()> spread = [] {
            return 0.0;
        };
        const KeyedStore access = store.access();
        entries[vm] = co_await joinFleet(context, access, settings, key, spread);
    }

    bool runUntilJoined(std::size_t count)
    {
        const Instant limit = std::chrono::steady_clock::now() + WaitLimit;
        while (entries.size() < count && std::chrono::steady_clock::now() < limit) {
            context.restart();
            context.run_one_for(Millis(5));
        }
        return entries.size() == count;
    }

    boost::asio::io_context context;
    FakeKeyedStore store;
    std::map<std::string, FleetEntry> entries;
};

} // namespace

TEST_GROUP(FleetRegistry) {};

TEST(FleetRegistry, firstProcessMakesTheKeyAndLaterOnesFindItAndEachOther)
{
    Registry registry;
    registry.join("10.0.0.1");
    CHECK_TRUE(registry.runUntilJoined(1));
    registry.join("10.0.0.2");
    CHECK_TRUE(registry.runUntilJoined(2));
    STRCMP_EQUAL("key of 10.0.0.1", registry.entries["10.0.0.2"].key.c_str());
    STRCMP_EQUAL("10.0.0.1:7000", toString(registry.entries["10.0.0.2"].peers.front()).c_str());
}

// Symptom: two parts of a fleet don't talk to each other.
// Events: all processes start at the same time and find no key.
// Cause: each wrote a key of its own, and some kept one that another had replaced.
TEST(FleetRegistry, processesThatStartTogetherAgreeOnOneKey)
{
    Registry registry;
    for (int index = 1; index <= 8; ++index) {
        registry.join("10.0.0." + std::to_string(index));
    }
    CHECK_TRUE(registry.runUntilJoined(8));
    for (const auto &[vm, entry] : registry.entries) {
        STRCMP_EQUAL(registry.entries.begin()->second.key.c_str(), entry.key.c_str());
    }
}

TEST(FleetRegistry, keyWhoseAppendWasNotAnsweredIsFoundAgain)
{
    Registry registry;
    registry.store.lostAppends = 1;
    registry.join("10.0.0.1");
    CHECK_TRUE(registry.runUntilJoined(1));
    registry.join("10.0.0.2");
    CHECK_TRUE(registry.runUntilJoined(2));
    STRCMP_EQUAL("key of 10.0.0.1", registry.entries["10.0.0.2"].key.c_str());
}

TEST(FleetRegistry, storeThatIsAwayIsWaitedFor)
{
    Registry registry;
    registry.store.failuresLeft = 5;
    registry.join("10.0.0.1");
    CHECK_TRUE(registry.runUntilJoined(1));
}

TEST(FleetRegistry, restartedProcessIsNotListedTwice)
{
    Registry registry;
    registry.join("10.0.0.1");
    CHECK_TRUE(registry.runUntilJoined(1));
    registry.entries.clear();
    const int before = registry.store.calls["append fleet"];
    registry.join("10.0.0.1");
    CHECK_TRUE(registry.runUntilJoined(1));
    CHECK_EQUAL(before, registry.store.calls["append fleet"]);
}
