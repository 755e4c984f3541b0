// Guards against a gateway that uses an old configuration for more than ten seconds while its link is saturated.
#include "mulberryplank/net/discoveryclient.h"

#include <charconv>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

#include "fakekeyedstore.h"
#include "narrowlink.h"

using namespace mulberryplank;

namespace
{

// A step represents 10 ms of the incident, and takes a millisecond or more of the test. The clients' own intervals are
// therefore set to a tenth of their usual values.
constexpr int StepsPerSecond = 100;
constexpr double NarrowBytesPerStep = 10e6 / 8 / StepsPerSecond;
constexpr double WideBytesPerStep = 200e6 / 8 / StepsPerSecond;
constexpr int ReaderLimit = 40; // steps for a response of the reader
constexpr int PeerLimit = 100; // for one of another process
constexpr int CallLimit = 50; // for one of the store, besides the time that it waits for records
constexpr int StoreLimit = 150; // for the store's newest records
constexpr double StoreEncodingOverhead = 4.0 / 3; // factor by which the store's encoding enlarges these
constexpr int GossipInterval = 50; // steps between two rounds of the members' gossip
constexpr std::size_t LargeConfiguration = 1'100'000; // bytes; larger than the incident's, so that each attempt fails

DiscoverySettings scaledSettings()
{
    DiscoverySettings settings;
    settings.targetsInterval = Millis(80);
    settings.retryInterval = Millis(25);
    settings.catchUpDelay = Millis(15);
    settings.configurationInterval = Seconds(1);
    settings.storeRetry.initialDelay = Millis(25);
    settings.storeRetry.maxDelay = Millis(50);
    return settings;
}

Result<RouteTable> decodeVersion(std::string_view bytes)
{
    RouteTable table;
    std::from_chars(bytes.data(), bytes.data() + bytes.size(), table.version);
    return table;
}

// Returns a configuration that can't be compressed, and shares nothing with one of another `content`.
std::string configuration(std::uint64_t version, std::size_t size, std::uint64_t content)
{
    std::mt19937_64 random(content);
    std::string bytes = std::to_string(version) + " ";
    while (bytes.size() < size) {
        bytes += static_cast<char>(random() & 0xffU);
    }
    return bytes;
}

// A process with its own link. Traffic between two processes uses both links; only the narrower one is modelled.
class LinkedProcess
{
public:
    LinkedProcess(boost::asio::io_context &context, FakeKeyedStore &shared, double bytesPerStep)
        : link(context, bytesPerStep)
        , m_context(context)
        , m_shared(shared)
        , m_history(
              store(), [] {}, [](Event, std::initializer_list<EventField>) {})
    {
    }

    void start(Incarnation self)
    {
        DiscoveryHooks hooks;
        hooks.configurationKey = "config";
        hooks.decodeRoutes = decodeVersion;
        hooks.decodeTarget = [](std::string_view id, std::string_view) -> Result<AnnouncedTarget> {
            AnnouncedTarget target;
            target.id = TargetName(std::string(id));
            return target;
        };
        hooks.routesChanged = [](const RouteTablePtr &) {};
        hooks.targetsRead = [](const TargetDirectory &, bool) {};
        hooks.queryPeer = [this](PeerUpdateRequest request) {
            return query(request, reader, PeerLimit);
        };
        hooks.queryReader = [this](PeerUpdateRequest request) {
            return query(request, reader, ReaderLimit);
        };
        hooks.hasReader = [this] {
            return reader != nullptr;
        };
        hooks.readsConfiguration = [] {
            return false;
        };
        hooks.followersInDomain = [] {
            return std::size_t { 2 };
        };
        hooks.storeChanged = [](bool) {};
        hooks.listChanged = [] {};
        const EventSink events = [](Event, std::initializer_list<EventField>) {};
        client =
            std::make_unique<DiscoveryClient>(m_context, m_history, scaledSettings(), std::move(hooks), self, events);
        client->start();
    }

    std::uint64_t version() const
    {
        return client->routes() ? client->routes()->version : 0;
    }

    NarrowLink link;
    std::unique_ptr<DiscoveryClient> client;
    LinkedProcess *reader = nullptr;

private:
    boost::asio::awaitable<Result<PeerUpdate>> query(PeerUpdateRequest request, LinkedProcess *other, int limit)
    {
        if (other == nullptr) {
            co_return failure(ErrorKind::PeerLost, "no such process");
        }
        PeerUpdate update = other->client->respondToPeer(request);
        if (!co_await link.send(encode(update).size(), limit)) {
            co_return failure(ErrorKind::PeerLost, "response is incomplete");
        }
        co_return update;
    }

    KeyedStore store()
    {
        KeyedStore access = m_shared.access();
        access.newest = [this](KeyedTopic topic) {
            return newest(topic);
        };
        access.read = [this](KeyedTopic topic, StorePosition from, Millis wait) {
            return read(topic, from, wait);
        };
        return access;
    }

    // The time that a read waits for records counts towards its limit.
    boost::asio::awaitable<Result<KeyedPage>> read(KeyedTopic topic, StorePosition from, Millis wait)
    {
        Result<KeyedPage> page = co_await m_shared.access().read(topic, from, wait);
        std::size_t bytes = 1;
        for (const KeyedRecord &record : page ? page->records : std::vector<KeyedRecord>()) {
            bytes += record.value ? record.value->size() : 0;
        }
        const int limit = CallLimit + static_cast<int>(wait.count()) * StepsPerSecond / 1'000;
        if (!co_await link.send(bytes, limit)) {
            co_return failure(ErrorKind::PlatformUnavailable, "no response");
        }
        co_return page;
    }

    boost::asio::awaitable<Result<KeyedSnapshot>> newest(KeyedTopic topic)
    {
        Result<KeyedSnapshot> snapshot = co_await m_shared.access().newest(topic);
        double bytes = 1;
        for (const KeyedRecord &record : snapshot ? snapshot->records : std::vector<KeyedRecord>()) {
            bytes += StoreEncodingOverhead * static_cast<double>(record.value->size());
        }
        if (!co_await link.send(static_cast<std::size_t>(bytes), StoreLimit)) {
            co_return failure(ErrorKind::PlatformUnavailable, "no response");
        }
        co_return snapshot;
    }

    boost::asio::io_context &m_context;
    FakeKeyedStore &m_shared;
    StoreHistory m_history;
};

// A process that reads the store over a wide link, and one behind a narrow link for which it is the designated reader.
class ReaderAndFollower
{
public:
    ReaderAndFollower()
        : store(context)
        , reader(context, store, WideBytesPerStep)
        , narrow(context, store, NarrowBytesPerStep)
    {
        store.put(KeyedTopic::Configuration, "config", configuration(1, 1'000, 1));
        store.put(KeyedTopic::Targets, "i-1", "1");
        reader.start(1);
        narrow.reader = &reader;
        narrow.start(2);
        stepUntil(StepsPerSecond, [this] {
            return reader.version() == 1 && narrow.version() == 1;
        });
        boost::asio::co_spawn(context.get_executor(), ensureTargets(), boost::asio::detached);
    }

    // Lets time pass until `done` or for `maxSteps`. Returns the number of steps taken.
    int stepUntil(int maxSteps, const std::function<bool()> &done)
    {
        int steps = 0;
        while (!done() && steps < maxSteps) {
            context.restart();
            context.run_for(Millis(1));
            reader.link.step();
            narrow.link.step();
            ++steps;
            if (steps % GossipInterval == 0) {
                narrow.client->noteRemoteVersion(reader.version());
            }
        }
        return steps;
    }

    boost::asio::io_context context;
    FakeKeyedStore store;
    LinkedProcess reader;
    LinkedProcess narrow;

private:
    DataAwaitable<void> ensureTargets()
    {
        co_await narrow.client->ensureTargets();
    }
};

} // namespace

TEST_GROUP(LargeConfiguration) {};

TEST(LargeConfiguration, isInForceInTimeBehindANarrowLink)
{
    ReaderAndFollower fleet;
    // The narrow process has received an update from its reader before.
    fleet.narrow.client->noteRemoteUpdate();
    fleet.stepUntil(StepsPerSecond, [] {
        return false;
    });
    fleet.store.put(KeyedTopic::Configuration, "config", configuration(2, LargeConfiguration, 2));
    fleet.stepUntil(StepsPerSecond, [&fleet] {
        return fleet.reader.version() == 2;
    });
    fleet.narrow.client->noteRemoteUpdate();
    constexpr int Bound = StepsPerSecond * 5 / 2;
    const int steps = fleet.stepUntil(Bound, [&fleet] {
        return fleet.narrow.version() == 2;
    });
    CHECK_TRUE(steps < Bound);
}

// Guards against a configuration that changes repeatedly, of which no version is put in force.
TEST(LargeConfiguration, changesInQuickSuccessionAreInForceInTime)
{
    ReaderAndFollower fleet;
    fleet.narrow.client->noteRemoteUpdate();
    fleet.store.put(KeyedTopic::Configuration, "config", configuration(2, LargeConfiguration, 2));
    fleet.stepUntil(StepsPerSecond * 5, [&fleet] {
        return fleet.narrow.version() == 2;
    });
    constexpr int BetweenChanges = StepsPerSecond * 3 / 10;
    constexpr int Bound = StepsPerSecond * 5 / 2;
    int behind = 0; // steps since the narrow process last had the newest version in force
    for (std::uint64_t version = 3; version < 20; ++version) {
        fleet.store.put(KeyedTopic::Configuration, "config", configuration(version, LargeConfiguration, 2));
        fleet.stepUntil(BetweenChanges, [&fleet, version] {
            return fleet.reader.version() == version;
        });
        fleet.narrow.client->noteRemoteUpdate(version);
        const int steps = fleet.stepUntil(BetweenChanges, [&fleet, version] {
            return fleet.narrow.version() == version;
        });
        behind = fleet.narrow.version() == version ? 0 : behind + steps;
        CHECK_TRUE(behind < Bound);
    }
}
