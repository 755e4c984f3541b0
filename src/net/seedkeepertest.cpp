#include "mulberryplank/net/seedkeeper.h"

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

// One process with its members, on a fake store in which others are named.
class Keeping
{
public:
    Keeping()
        : store(context)
    {
        settings.interval = Millis(1);
        settings.settle = Millis(1);
        settings.aloneFor = Millis(1);
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

    void start(const std::vector<std::string> &named)
    {
        std::vector<FleetSeed> seeds;
        for (const std::string &vm : named) {
            store.put(KeyedTopic::Fleet, "vm/" + vm, vm + ":7000");
            seeds.push_back(seedOf(vm));
        }
        SeedKeeperHooks hooks;
        hooks.members = [this] {
            ++looks;
            return members;
        };
        hooks.seedsFound = [this](const std::vector<FleetSeed> &seedsNow) {
            found = seedsNow;
        };
        const EventSink events = [this](Event event, std::initializer_list<EventField>) {
            failures += event == Event::NewsReadFailed ? 1 : 0;
        };
        keeper =
            std::make_unique<SeedKeeper>(context, store.access(), seedOf("own"), 1, settings, std::move(hooks), events);
        keeper->start(std::move(seeds));
    }

    // Runs until the members were looked at so many more times.
    void look(int times)
    {
        const int until = looks + times;
        CHECK_TRUE(runUntil(context, [&] {
            return looks >= until;
        }));
    }

    int appends()
    {
        return store.calls["append fleet"];
    }

    boost::asio::io_context context;
    FakeKeyedStore store;
    SeedKeeperSettings settings;
    std::vector<Member> members;
    std::vector<FleetSeed> found;
    std::unique_ptr<SeedKeeper> keeper;
    int looks = 0;
    int failures = 0;
};

} // namespace

TEST_GROUP(SeedKeeper) {};

TEST(SeedKeeper, strongestProcessNamesItselfOnce)
{
    Keeping keeping;
    keeping.members.push_back(Keeping::member("other", 2));
    keeping.members[0].capacity = 500;
    keeping.settings.seedsPerDomain = 1;
    keeping.start({ "other" });
    keeping.look(10);
    CHECK_EQUAL(1, keeping.appends());
}

TEST(SeedKeeper, processThatIsNamedOrWeakWritesNothing)
{
    for (const bool named : { true, false }) {
        Keeping keeping;
        keeping.settings.seedsPerDomain = 1;
        keeping.members.push_back(Keeping::member("other", 2, named ? 50 : 500));
        keeping.start(named ? std::vector<std::string> { "own", "other" } : std::vector<std::string> { "other" });
        keeping.look(10);
        CHECK_EQUAL(0, keeping.appends());
    }
}

TEST(SeedKeeper, placeOfAMemberThatDiedIsTaken)
{
    Keeping keeping;
    keeping.settings.seedsPerDomain = 1;
    keeping.members.push_back(Keeping::member("stronger", 2, 500));
    keeping.members.push_back(Keeping::member("far", 3));
    keeping.members.back().failureDomain = FailureDomain("other hall");
    keeping.start({ "stronger", "far" });
    keeping.look(10);
    CHECK_EQUAL(0, keeping.appends());
    keeping.members[1].status = MemberStatus::Dead;
    keeping.look(10);
    CHECK_EQUAL(1, keeping.appends());
}

// Failure: a restarted process serves for ever with what it knows alone.
TEST(SeedKeeper, processThatKnowsNobodyReadsTheSeedsAgain)
{
    Keeping keeping;
    keeping.start({ "gone" });
    keeping.store.put(KeyedTopic::Fleet, "vm/new", "new:7000");
    CHECK_TRUE(runUntil(keeping.context, [&] {
        return keeping.found.size() >= 2;
    }));
}

TEST(SeedKeeper, processThatKnowsOthersReadsNothing)
{
    Keeping keeping;
    keeping.members.push_back(Keeping::member("other", 2));
    keeping.start({ "own", "other" });
    keeping.look(20);
    CHECK_EQUAL(0, keeping.store.calls.size());
}

// Failure: a store that comes back is met by a call a second from each seed.
TEST(SeedKeeper, storeThatFailsIsNotAskedAtEachLook)
{
    Keeping keeping;
    keeping.members.push_back(Keeping::member("other", 2));
    keeping.store.away = true;
    keeping.start({ "other" });
    keeping.look(20);
    CHECK_EQUAL(1, keeping.appends());
    CHECK_EQUAL(1, keeping.failures);
}
