#include "mulberryplank/net/discoveryclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

#include "fakekeyedstore.h"
#include "rununtil.h"

using namespace mulberryplank;

namespace
{

constexpr Incarnation Self = 7;

// A client of a fake store. Configurations are plain version numbers. Targets' records are sequence numbers, followed
// by 'd' while the target drains.
class ClientFixture
{
public:
    ClientFixture()
        : store(context)
        , history(
              store.access(), [] {}, [](Event, std::initializer_list<EventField>) {})
    {
        settings.targetsInterval = Millis(1);
        settings.retryInterval = Millis(1);
        settings.storeRetry.initialDelay = Millis(1);
        settings.storeRetry.maxDelay = Millis(1);
        settings.catchUpDelay = Millis(1);
        settings.targetsWait = Seconds(5);
    }

    static Result<RouteTable> decodeRoutes(std::string_view bytes)
    {
        RouteTable table;
        if (bytes.empty() || !std::isdigit(static_cast<unsigned char>(bytes.front()))) {
            return failure(ErrorKind::BadConfiguration, "not a number");
        }
        table.version = std::stoull(std::string(bytes));
        return table;
    }

    static Result<AnnouncedTarget> decodeTarget(std::string_view id, std::string_view bytes)
    {
        if (bytes == "unreadable") {
            return failure(ErrorKind::BadConfiguration, "not a target's record");
        }
        AnnouncedTarget target;
        target.id = TargetName(std::string(id));
        target.sequence = std::stoull(std::string(bytes));
        target.draining = bytes.ends_with('d');
        return target;
    }

    void start()
    {
        DiscoveryHooks hooks;
        hooks.configurationKey = "config";
        hooks.decodeRoutes = decode;
        hooks.decodeTarget = decodeTarget;
        hooks.routesChanged = [this](const RouteTablePtr &table) {
            versions.push_back(table->version);
        };
        hooks.targetsRead = [this](const TargetDirectory &, bool) {
            ++targetReads;
        };
        hooks.queryPeer = [this](PeerUpdateRequest request) {
            return query(request, peer);
        };
        hooks.queryReader = [this](PeerUpdateRequest request) {
            return query(request, reader);
        };
        hooks.hasReader = [this] {
            return reader != nullptr;
        };
        hooks.readsConfiguration = [this] {
            return readsConfiguration;
        };
        hooks.followersInDomain = [this] {
            return followersInDomain;
        };
        hooks.storeChanged = [this](bool firstToRecover) {
            ++storeChanges;
            firstRecoveries += firstToRecover ? 1 : 0;
        };
        hooks.listChanged = [this] {
            ++listChanges;
        };
        const EventSink events = [this](Event event, std::initializer_list<EventField> fields) {
            for (const EventField &field : fields) {
                if (event == Event::NewsReadFailed && field.key == "source") {
                    failedSources.push_back(field.value);
                }
                if (event == Event::ConfigurationBehind && field.key == "newest") {
                    versionsBehind.push_back(field.value);
                }
            }
        };
        client = std::make_unique<DiscoveryClient>(context, history, settings, std::move(hooks), self, events);
        client->start();
    }

    // Runs until `done` returns true. Returns false if it doesn't within the time limit.
    bool runUntil(const std::function<bool()> &done)
    {
        return mulberryplank::runUntil(context, done);
    }

    // Runs with this configuration until the client waits for the next one.
    void runWith(const std::string &version)
    {
        store.put(KeyedTopic::Configuration, "config", version);
        start();
        runUntil([this] {
            return store.calls["read configuration"] > 0;
        });
    }

    // Runs until a configuration is in force. Returns false if none is within the time limit.
    bool runUntilConfigured()
    {
        return runUntil([this] {
            return !versions.empty();
        });
    }

    // Runs until this configuration is in force. Returns false if it isn't within the time limit.
    bool runUntilInForce(std::uint64_t version)
    {
        return runUntil([this, version] {
            return !versions.empty() && versions.back() == version;
        });
    }

    // Runs `count` rounds.
    void runRounds(int count)
    {
        runUntil([&count] {
            return --count < 0;
        });
    }

    // Waits for routes as a request does, and then sets `waited`.
    void awaitRoutes(bool &waited)
    {
        const std::function<DataAwaitable<void>()> wait = [this, &waited]() -> DataAwaitable<void> {
            co_await client->awaitRoutes();
            waited = true;
        };
        boost::asio::co_spawn(context.get_executor(), wait, boost::asio::detached);
    }

    // Requests the targets as a request does.
    std::shared_ptr<std::optional<bool>> requestTargets()
    {
        const auto result = std::make_shared<std::optional<bool>>();
        const std::function<DataAwaitable<void>()> query = [this, result]() -> DataAwaitable<void> {
            *result = co_await client->ensureTargets();
        };
        boost::asio::co_spawn(context.get_executor(), query, boost::asio::detached);
        return result;
    }

    // Requests the targets as a request does, and runs until that completes.
    bool ensureTargets()
    {
        const std::shared_ptr<std::optional<bool>> result = requestTargets();
        runUntil([result] {
            return result->has_value();
        });
        return result->value_or(false);
    }

    bool lists(const std::string &id) const
    {
        return client->directory().targets().contains(TargetName(id));
    }

    boost::asio::awaitable<Result<PeerUpdate>> query(PeerUpdateRequest request, DiscoveryClient *other)
    {
        if (other == nullptr) {
            co_return failure(ErrorKind::PeerLost, "no such process");
        }
        ++queries;
        PeerUpdate update = other->respondToPeer(request);
        if (alterUpdate) {
            alterUpdate(update);
        }
        if (onEmptyResponse && request.wantsConfiguration && update.configuration.bytes.empty()) {
            onEmptyResponse();
        }
        co_return update;
    }

    boost::asio::io_context context;
    FakeKeyedStore store;
    StoreHistory history;
    DiscoverySettings settings;
    std::unique_ptr<DiscoveryClient> client;
    DiscoveryClient *peer = nullptr;
    DiscoveryClient *reader = nullptr;
    std::function<Result<RouteTable>(std::string_view)> decode = decodeRoutes;
    Incarnation self = Self;
    std::function<void()> onEmptyResponse; // called while a response without a newer configuration is in transit
    std::function<void(PeerUpdate &)> alterUpdate; // modifies the responses of other processes
    int queries = 0; // how many were sent to other processes
    std::vector<std::uint64_t> versions; // in the order in which they were put in force
    int targetReads = 0;
    int listChanges = 0;
    int storeChanges = 0;
    int firstRecoveries = 0; // how many of these were the first to detect the recovery
    std::size_t followersInDomain = 1;
    bool readsConfiguration = false;
    std::vector<std::string> failedSources; // as logged
    std::vector<std::string> versionsBehind; // that were logged as known and not in force
};

} // namespace

TEST_GROUP(DiscoveryClient) {};

TEST(DiscoveryClient, newestAndEveryLaterConfigurationIsPutInForce)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Configuration, "config", "3");
    fixture.start();
    CHECK_TRUE(fixture.runUntil([&] {
        return fixture.versions == std::vector<std::uint64_t> { 3 };
    }));
    fixture.store.put(KeyedTopic::Configuration, "config", "5");
    CHECK_TRUE(fixture.runUntil([&] {
        return fixture.versions.size() == 2;
    }));
    CHECK_EQUAL(5, fixture.client->routes()->version);
}

// Guards against requests that are handled by an older configuration than the requests before them.
TEST(DiscoveryClient, versionNeverDecreases)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Configuration, "config", "5");
    fixture.start();
    fixture.runUntilConfigured();
    fixture.store.put(KeyedTopic::Configuration, "config", "4");
    fixture.store.put(KeyedTopic::Configuration, "config", "6");
    CHECK_TRUE(fixture.runUntilInForce(6));
    CHECK_EQUAL(2, fixture.versions.size());
}

TEST(DiscoveryClient, unreadableConfigurationLeavesTheLastOneInForce)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Configuration, "config", "5");
    fixture.start();
    fixture.runUntilConfigured();
    fixture.store.put(KeyedTopic::Configuration, "config", "broken");
    fixture.store.put(KeyedTopic::Configuration, "config", "7");
    CHECK_TRUE(fixture.runUntilInForce(7));
}

TEST(DiscoveryClient, droppedHistoryLeadsToTheNewestConfiguration)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Configuration, "config", "1");
    fixture.start();
    fixture.runUntil([&] {
        return fixture.store.calls["read configuration"] > 0;
    });
    fixture.store.put(KeyedTopic::Configuration, "config", "2");
    fixture.store.put(KeyedTopic::Configuration, "config", "3");
    fixture.store.dropHistory(KeyedTopic::Configuration);
    CHECK_TRUE(fixture.runUntilInForce(3));
}

TEST(DiscoveryClient, failedStoreReadIsRetried)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Configuration, "config", "1");
    fixture.store.failuresLeft = 3;
    fixture.start();
    CHECK_TRUE(fixture.runUntilConfigured());
}

// Guards against a process that uses an old configuration for as long as the store rejects it.
TEST(DiscoveryClient, processRejectedByTheStoreUpdatesFromAPeer)
{
    ClientFixture healthy;
    healthy.settings.targetsInterval = Seconds(10); // its list stays up to date
    healthy.store.put(KeyedTopic::Configuration, "config", "9");
    healthy.store.put(KeyedTopic::Targets, "i-1", "1");
    healthy.start();
    healthy.runUntilConfigured();
    CHECK_TRUE(healthy.ensureTargets());
    ClientFixture rejected;
    rejected.store.inOutage = true;
    rejected.peer = healthy.client.get();
    rejected.start();
    CHECK_TRUE(rejected.runUntilConfigured());
    CHECK_TRUE(rejected.ensureTargets());
    CHECK_TRUE(rejected.lists("i-1"));
}

TEST(DiscoveryClient, newerVersionOfAPeerIsFetched)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Configuration, "config", "1");
    fixture.start();
    fixture.runUntil([&] {
        return fixture.store.calls["read configuration"] > 0;
    });
    // The waiting read is unresponsive: it doesn't receive the new version.
    const int before = fixture.store.calls["newest configuration"];
    fixture.client->noteRemoteVersion(2);
    CHECK_TRUE(fixture.runUntil([&] {
        return fixture.store.calls["newest configuration"] > before;
    }));
}

TEST(DiscoveryClient, slowStoreReadDoesNotDelayANewerVersionFromPeers)
{
    ClientFixture ahead;
    ahead.runWith("5");
    ClientFixture fixture;
    fixture.runWith("3");
    fixture.store.newestIsSlow = true;
    fixture.store.failuresLeft = 1;
    fixture.store.wake();
    fixture.runUntil([&] {
        return fixture.store.calls["newest configuration"] > 1;
    });
    fixture.peer = ahead.client.get();
    fixture.client->noteRemoteVersion(5);
    CHECK_TRUE(fixture.runUntilInForce(5));
}

TEST(DiscoveryClient, secondReaderReadsAConfigurationThatTheFirstDidNotGet)
{
    ClientFixture outdated;
    outdated.runWith("3");
    ClientFixture second;
    second.readsConfiguration = true;
    second.reader = outdated.client.get();
    second.store.put(KeyedTopic::Configuration, "config", "5");
    second.start();
    CHECK_TRUE(second.runUntilInForce(5));
}

TEST(DiscoveryClient, versionReportedDuringAStoreReadIsFetchedFromAPeer)
{
    ClientFixture ahead;
    ahead.runWith("5");
    ClientFixture fixture;
    fixture.runWith("3");
    fixture.store.newestIsSlow = true;
    fixture.client->noteRemoteVersion(4);
    fixture.runUntil([&] {
        return fixture.store.calls["newest configuration"] > 1;
    });
    fixture.peer = ahead.client.get();
    fixture.client->noteRemoteVersion(5);
    CHECK_TRUE(fixture.runUntilInForce(5));
}

TEST(DiscoveryClient, versionThatIsKnownButNotInForceIsLoggedAfterADelay)
{
    VirtualTime time { Instant(Seconds(1'000)) };
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Configuration, "config", "3");
    fixture.start();
    fixture.context.poll();
    fixture.client->noteRemoteVersion(5);
    CHECK_EQUAL(0, fixture.versionsBehind.size());
    time.advance(fixture.settings.behindReportDelay);
    fixture.client->noteRemoteVersion(5);
    fixture.client->noteRemoteVersion(5);
    CHECK_TRUE(fixture.versionsBehind == std::vector<std::string> { "5" });
}

TEST(DiscoveryClient, targetsAreNotReadBeforeTheyAreNeeded)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Configuration, "config", "1");
    fixture.store.put(KeyedTopic::Targets, "i-1", "1");
    fixture.start();
    fixture.runUntilConfigured();
    CHECK_EQUAL(0, fixture.targetReads);
    CHECK_TRUE(fixture.ensureTargets());
    CHECK_TRUE(fixture.lists("i-1"));
}

TEST(DiscoveryClient, startingDrainingAndRemovedTargetsAreFollowed)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Targets, "i-1", "1");
    fixture.start();
    fixture.ensureTargets();
    fixture.store.put(KeyedTopic::Targets, "i-2", "1");
    fixture.store.put(KeyedTopic::Targets, "i-1", "2d");
    CHECK_TRUE(fixture.runUntil([&] {
        return fixture.lists("i-2");
    }));
    CHECK_TRUE(fixture.client->directory().targets().at(TargetName("i-1")).target.draining);
    fixture.store.put(KeyedTopic::Targets, "i-1", std::nullopt);
    CHECK_TRUE(fixture.runUntil([&] {
        return !fixture.lists("i-1");
    }));
    CHECK_TRUE(fixture.listChanges >= 3);
}

// Guards against a target that gets requests for seconds after it has left, because the store no longer keeps
// the records after the list.
TEST(DiscoveryClient, droppedHistoryOfTargetsLeadsToTheNewestList)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Targets, "i-1", "1");
    fixture.start();
    CHECK_TRUE(fixture.ensureTargets());
    fixture.store.put(KeyedTopic::Targets, "i-1", "2d");
    fixture.store.dropHistory(KeyedTopic::Targets);
    int &reads = fixture.store.calls["read targets"];
    const int before = reads;
    CHECK_TRUE(fixture.runUntil([&] {
        return fixture.client->directory().targets().at(TargetName("i-1")).target.draining || reads > before + 2;
    }));
    CHECK_TRUE(fixture.client->directory().targets().at(TargetName("i-1")).target.draining);
}

TEST(DiscoveryClient, requestsDoNotWaitForAListThatIsUnavailable)
{
    ClientFixture fixture;
    fixture.settings.targetsWait = std::chrono::hours(1);
    fixture.store.put(KeyedTopic::Targets, "i-1", "1");
    fixture.start();
    fixture.ensureTargets();
    fixture.store.inOutage = true;
    constexpr int Failures = 20; // after these the list is too old
    const int before = fixture.targetReads;
    fixture.runUntil([&] {
        return fixture.targetReads >= before + Failures;
    });
    CHECK_TRUE(fixture.ensureTargets());
}

// Guards against requests to the target of a record that another writer has overwritten, and against the loss of all
// targets by such a record.
TEST(DiscoveryClient, unreadableRecordRemovesOnlyItsOwnTarget)
{
    ClientFixture fixture;
    fixture.settings.targetsInterval = Millis(5);
    fixture.store.put(KeyedTopic::Targets, "i-1", "1");
    fixture.store.put(KeyedTopic::Targets, "i-2", "1");
    fixture.store.put(KeyedTopic::Targets, "i-3", "unreadable");
    fixture.start();
    CHECK_TRUE(fixture.ensureTargets());
    CHECK_TRUE(fixture.lists("i-1") && fixture.lists("i-2"));
    CHECK_FALSE(fixture.lists("i-3"));
    fixture.store.put(KeyedTopic::Targets, "i-1", "unreadable");
    fixture.store.put(KeyedTopic::Targets, "i-4", "1");
    CHECK_TRUE(fixture.runUntil([&] {
        return fixture.lists("i-4");
    }));
    CHECK_FALSE(fixture.lists("i-1"));
    CHECK_TRUE(fixture.lists("i-2"));
}

TEST(DiscoveryClient, heartbeatsDoNotCountAsListChanges)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Targets, "i-1", "1");
    fixture.start();
    fixture.ensureTargets();
    const int before = fixture.listChanges;
    const int reads = fixture.targetReads;
    fixture.store.put(KeyedTopic::Targets, "i-1", "2");
    fixture.runUntil([&] {
        return fixture.targetReads > reads + 3;
    });
    CHECK_EQUAL(before, fixture.listChanges);
}

TEST(DiscoveryClient, storeIsNotReadWhenAnotherProcessReadsIt)
{
    ClientFixture readerFixture;
    readerFixture.settings.targetsInterval = Seconds(10); // its list stays up to date
    readerFixture.store.put(KeyedTopic::Targets, "i-1", "1");
    readerFixture.start();
    readerFixture.ensureTargets();
    ClientFixture fixture;
    fixture.reader = readerFixture.client.get();
    fixture.start();
    CHECK_TRUE(fixture.ensureTargets());
    CHECK_TRUE(fixture.lists("i-1"));
    CHECK_EQUAL(0, fixture.store.calls["newest targets"]);
}

// Guards against lists of targets that arrive too late for a second after each change, so that gateways read them from
// the store.
TEST(DiscoveryClient, onlyChangedTargetsAreSent)
{
    ClientFixture readerFixture;
    readerFixture.settings.targetsInterval = Millis(200);
    for (int i = 0; i < 100; ++i) {
        readerFixture.store.put(KeyedTopic::Targets, "i-" + std::to_string(i), "1");
    }
    readerFixture.start();
    readerFixture.ensureTargets();
    ClientFixture fixture;
    fixture.reader = readerFixture.client.get();
    std::size_t lists = 0;
    std::size_t changes = 0;
    fixture.alterUpdate = [&](const PeerUpdate &update) {
        lists += update.compressedTargets.empty() ? 0 : 1;
        changes += update.changed.size() + update.removed.size();
    };
    fixture.start();
    CHECK_TRUE(fixture.ensureTargets());
    CHECK_EQUAL(1, lists);
    readerFixture.store.put(KeyedTopic::Targets, "i-7", "2d");
    readerFixture.store.put(KeyedTopic::Targets, "i-8", std::nullopt);
    const TargetName draining("i-7");
    CHECK_TRUE(readerFixture.runUntil([&] {
        return readerFixture.client->directory().targets().at(draining).target.draining && !readerFixture.lists("i-8");
    }));
    fixture.client->noteRemoteUpdate();
    CHECK_TRUE(fixture.runUntil([&] {
        return fixture.client->directory().targets().at(draining).target.draining && !fixture.lists("i-8");
    }));
    CHECK_EQUAL(1, lists);
    CHECK_EQUAL(2, changes);
    CHECK_EQUAL(99, fixture.client->directory().targets().size());
}

// Guards against every process reading all targets, after a fleet's start, from a store that has just served that
// start.
TEST(DiscoveryClient, readerThatIsStillReadingIsQueriedAgain)
{
    ClientFixture readerFixture;
    readerFixture.store.put(KeyedTopic::Targets, "i-1", "1");
    readerFixture.settings.targetsInterval = Seconds(10); // its list stays up to date
    readerFixture.start();
    ClientFixture fixture;
    fixture.settings.listInterval = Millis(1);
    fixture.reader = readerFixture.client.get();
    fixture.alterUpdate = [&](const PeerUpdate &) {
        readerFixture.runRounds(5);
    };
    fixture.start();
    CHECK_TRUE(fixture.ensureTargets());
    CHECK_TRUE(fixture.lists("i-1"));
    CHECK_EQUAL(0, fixture.store.calls["newest targets"]);
}

// Guards against requests to a target more than three seconds after it announced that it leaves.
TEST(DiscoveryClient, readerWithAnOldListIsNotWaitedFor)
{
    ClientFixture readerFixture;
    readerFixture.settings.targetsInterval = {}; // its list is too old as soon as it is read
    readerFixture.store.put(KeyedTopic::Targets, "i-1", "1");
    readerFixture.start();
    CHECK_TRUE(readerFixture.ensureTargets());
    ClientFixture fixture;
    fixture.settings.listInterval = Seconds(60);
    fixture.reader = readerFixture.client.get();
    fixture.store.put(KeyedTopic::Targets, "i-1", "1");
    fixture.store.put(KeyedTopic::Targets, "i-1", "2d");
    fixture.start();
    CHECK_TRUE(fixture.ensureTargets());
    CHECK_TRUE(fixture.client->directory().targets().at(TargetName("i-1")).target.draining);
    CHECK_EQUAL(0, fixture.store.calls["newest targets"]); // the records after the old list are enough
}

// Guards against a process that uses its old list during an outage although other processes have a newer one.
TEST(DiscoveryClient, oldListThatIsNewerThanTheOwnOneIsApplied)
{
    ClientFixture readerFixture;
    readerFixture.self = Self + 1;
    readerFixture.settings.targetsInterval = {}; // its list is too old as soon as it is read
    readerFixture.store.put(KeyedTopic::Targets, "i-1", "1");
    readerFixture.store.put(KeyedTopic::Targets, "i-1", "2d");
    readerFixture.start();
    readerFixture.ensureTargets();
    ClientFixture fixture;
    fixture.settings.targetsWait = Millis(5);
    fixture.store.put(KeyedTopic::Targets, "i-1", "1");
    fixture.start();
    fixture.ensureTargets();
    fixture.store.inOutage = true;
    fixture.peer = readerFixture.client.get();
    CHECK_TRUE(fixture.runUntil([&] {
        fixture.ensureTargets();
        return fixture.client->directory().targets().at(TargetName("i-1")).target.draining;
    }));
}

// Guards against whole lists being sent over and over during an outage.
TEST(DiscoveryClient, oldListIsNotSentToAProcessThatHasIt)
{
    ClientFixture readerFixture;
    readerFixture.settings.targetsInterval = {};
    readerFixture.store.put(KeyedTopic::Targets, "i-1", "1");
    readerFixture.start();
    readerFixture.ensureTargets();
    PeerUpdateRequest request;
    request.wantsTargets = true;
    request.targetsNext = { 1, 1 };
    CHECK_FALSE(readerFixture.client->respondToPeer(request).hasTargets);
    request.targetsNext = { 1, 0 };
    CHECK_TRUE(readerFixture.client->respondToPeer(request).hasTargets);
}

TEST(DiscoveryClient, listThatIsOldOnArrivalIsReadAgainSoon)
{
    ClientFixture readerFixture;
    readerFixture.settings.targetsInterval = std::chrono::hours(1);
    readerFixture.store.put(KeyedTopic::Targets, "i-1", "1");
    readerFixture.start();
    readerFixture.ensureTargets();
    ClientFixture fixture;
    fixture.reader = readerFixture.client.get();
    fixture.settings.targetsInterval = std::chrono::hours(1);
    fixture.settings.maxTargetsAge = std::chrono::hours(2);
    fixture.settings.targetsRenewalAge = std::chrono::hours(2);
    fixture.alterUpdate = [](PeerUpdate &update) {
        update.ageMillis = std::chrono::duration_cast<Millis>(std::chrono::hours(2)).count();
    };
    fixture.start();
    fixture.ensureTargets();
    const int before = fixture.targetReads;
    CHECK_TRUE(fixture.runUntil([&] {
        return fixture.targetReads > before;
    }));
}

// Guards against a list that counts as recent because its response was delayed, and that lacks what happened meanwhile.
TEST(DiscoveryClient, ageOfAListCountsFromItsRequest)
{
    VirtualTime time(Instant(Seconds(1'000)));
    constexpr Duration Delay = Millis(1'500);
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Targets, "i-1", "1");
    fixture.store.newestIsSlow = true;
    fixture.start();
    const Instant requestedAt = Clock::now();
    fixture.requestTargets();
    CHECK_TRUE(fixture.runUntil([&] {
        return fixture.store.calls["newest targets"] > 0;
    }));
    time.advance(Delay);
    fixture.store.wake();
    CHECK_TRUE(fixture.runUntil([&] {
        return fixture.targetReads > 0;
    }));
    CHECK_TRUE(fixture.client->targetsReadAt() == requestedAt);
}

TEST(DiscoveryClient, ageOfAListFromAnotherProcessCountsFromTheRequest)
{
    VirtualTime time(Instant(Seconds(1'000)));
    constexpr Duration Delay = Millis(300);
    ClientFixture readerFixture;
    readerFixture.settings.targetsInterval = Seconds(1);
    readerFixture.store.put(KeyedTopic::Targets, "i-1", "1");
    readerFixture.start();
    readerFixture.requestTargets();
    CHECK_TRUE(readerFixture.runUntil([&] {
        return readerFixture.targetReads > 0;
    }));
    ClientFixture fixture;
    fixture.reader = readerFixture.client.get();
    fixture.settings.targetsInterval = Seconds(1);
    fixture.alterUpdate = [&time](PeerUpdate &) {
        time.advance(Delay);
    };
    fixture.start();
    fixture.requestTargets();
    CHECK_TRUE(fixture.runUntil([&] {
        return fixture.targetReads > 0;
    }));
    CHECK_TRUE(fixture.client->targetsReadAt() <= readerFixture.client->targetsReadAt());
}

// Guards against a fleet's first start that costs the store two calls for each process.
TEST(DiscoveryClient, processWithoutConfigurationWaitsForItsReader)
{
    ClientFixture readerFixture;
    readerFixture.start();
    ClientFixture fixture;
    fixture.reader = readerFixture.client.get();
    fixture.settings.firstInterval = Millis(5);
    fixture.start();
    fixture.runUntil([&] {
        return fixture.queries > 3;
    });
    readerFixture.store.put(KeyedTopic::Configuration, "config", "1");
    CHECK_TRUE(readerFixture.runUntilConfigured());
    CHECK_TRUE(fixture.runUntilConfigured());
    CHECK_EQUAL(0, fixture.store.calls.size());
}

// Guards against rejecting requests of the first half second after a loss of all power. Their callers don't retry.
TEST(DiscoveryClient, requestBeforeTheFirstRoutesWaitsForThem)
{
    ClientFixture fixture;
    fixture.settings.routesWait = Seconds(20);
    fixture.start();
    bool waited = false;
    fixture.awaitRoutes(waited);
    fixture.runRounds(5);
    CHECK_FALSE(waited);
    fixture.store.put(KeyedTopic::Configuration, "config", "1");
    CHECK_TRUE(fixture.runUntil([&] {
        return waited;
    }));
    CHECK_EQUAL(1, fixture.versions.size());
}

TEST(DiscoveryClient, requestLongAfterTheStartDoesNotWaitForRoutes)
{
    ClientFixture fixture;
    fixture.settings.routesWait = {};
    fixture.start();
    bool waited = false;
    fixture.awaitRoutes(waited);
    fixture.context.poll();
    CHECK_TRUE(waited);
}

TEST(DiscoveryClient, storeIsReadWhenTheReaderHasNoList)
{
    ClientFixture readerFixture; // has started but has no list
    readerFixture.store.inOutage = true;
    readerFixture.start();
    ClientFixture fixture;
    fixture.reader = readerFixture.client.get();
    fixture.store.put(KeyedTopic::Targets, "i-1", "1");
    fixture.start();
    CHECK_TRUE(fixture.ensureTargets());
    CHECK_TRUE(fixture.lists("i-1"));
}

TEST(DiscoveryClient, noTargetsWithoutAnySource)
{
    ClientFixture fixture;
    fixture.settings.targetsWait = Millis(5);
    fixture.store.inOutage = true;
    fixture.start();
    CHECK_FALSE(fixture.ensureTargets());
}

// Guards against all processes using an old configuration for seconds although the store serves all but the readers.
TEST(DiscoveryClient, configurationIsReadFromTheStoreWhenTheReaderIsRejected)
{
    ClientFixture readerFixture;
    readerFixture.store.put(KeyedTopic::Configuration, "config", "1");
    readerFixture.start();
    readerFixture.runUntilConfigured();
    ClientFixture fixture;
    fixture.settings.configurationInterval = Millis(1);
    fixture.store.put(KeyedTopic::Configuration, "config", "1");
    fixture.reader = readerFixture.client.get();
    fixture.start();
    fixture.runUntilConfigured();
    readerFixture.store.inOutage = true;
    readerFixture.store.wake();
    CHECK_TRUE(readerFixture.runUntil([&] {
        return readerFixture.storeChanges > 0;
    }));
    fixture.store.put(KeyedTopic::Configuration, "config", "2");
    CHECK_TRUE(fixture.runUntilInForce(2));
}

// Guards against an outage of the store that costs thousands of calls.
TEST(DiscoveryClient, manyProcessesRetryRarelyDuringAnOutage)
{
    ClientFixture reader;
    reader.store.put(KeyedTopic::Configuration, "config", "1");
    reader.start();
    CHECK_TRUE(reader.runUntilConfigured());
    ClientFixture many;
    many.store.put(KeyedTopic::Configuration, "config", "1");
    many.followersInDomain = 40;
    many.settings.configurationInterval = Millis(1);
    many.settings.storeRetry.maxSharedDelay = Seconds(60);
    many.settings.storeRetry.sharedCallsPerSecond = 1;
    many.start();
    CHECK_TRUE(many.runUntilConfigured());
    many.reader = reader.client.get();
    many.store.inOutage = true;
    reader.store.inOutage = true;
    reader.store.wake();
    CHECK_TRUE(reader.runUntil([&] {
        return !reader.client->storeResponds();
    }));
    many.store.wake();
    many.runUntil([&] {
        return !many.client->storeResponds();
    });
    const int before = many.store.calls["newest configuration"];
    many.runRounds(200);
    CHECK_TRUE(many.store.calls["newest configuration"] <= before + 1);
    // A hint ends the delay.
    many.store.inOutage = false;
    many.store.put(KeyedTopic::Configuration, "config", "2");
    many.client->noteRemoteUpdate();
    CHECK_TRUE(many.runUntilInForce(2));
    CHECK_EQUAL(0, many.firstRecoveries);
}

// Guards against a gateway that uses an old configuration for seconds while its log doesn't show the reason.
TEST(DiscoveryClient, failedReadIsLoggedWithItsSource)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Configuration, "config", "1");
    fixture.store.failuresLeft = 1;
    fixture.start();
    CHECK_TRUE(fixture.runUntilConfigured());
    CHECK_EQUAL(1, fixture.failedSources.size()); // that no peer is available was throttled within the same second
    STRCMP_EQUAL("store", fixture.failedSources.front().c_str());
}

// Guards against a gateway that gets a new configuration ten seconds late although it received a hint.
TEST(DiscoveryClient, hintDuringAQueryIsNotLost)
{
    ClientFixture readerFixture;
    readerFixture.store.put(KeyedTopic::Configuration, "config", "1");
    readerFixture.start();
    CHECK_TRUE(readerFixture.runUntilConfigured());
    ClientFixture fixture;
    fixture.settings.configurationInterval = Seconds(60);
    fixture.store.put(KeyedTopic::Configuration, "config", "1");
    fixture.reader = readerFixture.client.get();
    fixture.start();
    CHECK_TRUE(fixture.runUntilConfigured());
    fixture.store.wake();
    readerFixture.store.put(KeyedTopic::Configuration, "config", "2");
    CHECK_TRUE(readerFixture.runUntilInForce(2));
    fixture.onEmptyResponse = [&] {
        fixture.onEmptyResponse = nullptr;
        readerFixture.store.put(KeyedTopic::Configuration, "config", "3");
        readerFixture.runUntilInForce(3);
        fixture.client->noteRemoteUpdate(3);
    };
    fixture.client->noteRemoteUpdate(2);
    CHECK_TRUE(fixture.runUntilInForce(3));
    CHECK_FALSE(static_cast<bool>(fixture.onEmptyResponse));
}

// Guards against gateways of an older version that fill their links with a configuration that they can't use.
TEST(DiscoveryClient, unreadableConfigurationIsFetchedOnlyOnce)
{
    ClientFixture other;
    other.store.put(KeyedTopic::Configuration, "config", "2");
    other.start();
    CHECK_TRUE(other.runUntilConfigured());
    ClientFixture fixture;
    fixture.decode = [](std::string_view bytes) -> Result<RouteTable> {
        return bytes == "2" ? failure(ErrorKind::BadConfiguration, "of a newer format")
                            : ClientFixture::decodeRoutes(bytes);
    };
    fixture.store.put(KeyedTopic::Configuration, "config", "1");
    fixture.peer = other.client.get();
    fixture.start();
    CHECK_TRUE(fixture.runUntilConfigured());
    int rounds = 0;
    fixture.runUntil([&] {
        fixture.client->noteRemoteVersion(2);
        return ++rounds > 100;
    });
    CHECK_EQUAL(1, fixture.queries);
    CHECK_EQUAL(1, fixture.client->routes()->version);
}

// Guards against positions of a lost history: the store gives out their offsets again.
TEST(DiscoveryClient, configurationsAreFollowedAfterTheStoreCameBackFromAnOlderCopy)
{
    ClientFixture fixture;
    for (const char *version : { "1", "2", "3", "4", "5" }) {
        fixture.store.put(KeyedTopic::Configuration, "config", version);
    }
    fixture.start();
    CHECK_TRUE(fixture.runUntilInForce(5));
    fixture.store.loseLast(KeyedTopic::Configuration, 3);
    fixture.store.put(KeyedTopic::Configuration, "config", "5");
    fixture.runRounds(50);
    for (const char *version : { "6", "7", "8" }) {
        fixture.store.put(KeyedTopic::Configuration, "config", version);
        fixture.runRounds(50);
        STRCMP_EQUAL(version, std::to_string(fixture.client->routes()->version).c_str());
    }
}

TEST(DiscoveryClient, configurationInForceStaysWhenTheStoreComesBackWithoutIt)
{
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Configuration, "config", "1");
    fixture.store.put(KeyedTopic::Configuration, "config", "2");
    fixture.start();
    CHECK_TRUE(fixture.runUntilInForce(2));
    fixture.store.loseLast(KeyedTopic::Configuration, 1);
    fixture.runRounds(50);
    CHECK_EQUAL(2, fixture.client->routes()->version);
    fixture.store.put(KeyedTopic::Configuration, "config", "3");
    CHECK_TRUE(fixture.runUntilInForce(3));
}

// Guards against a list that counts as older than one read before, and is refused, because the store came back from an
// older copy.
TEST(DiscoveryClient, listOfTargetsIsFollowedAfterTheStoreCameBackFromAnOlderCopy)
{
    for (const int writtenAgain : { 1, 12 }) {
        ClientFixture fixture;
        fixture.store.put(KeyedTopic::Configuration, "config", "1");
        for (int sequence = 1; sequence <= 20; ++sequence) {
            fixture.store.put(KeyedTopic::Targets, "t" + std::to_string(sequence % 4), std::to_string(sequence));
        }
        fixture.start();
        CHECK_TRUE(fixture.ensureTargets());
        fixture.store.loseLast(KeyedTopic::Targets, 12);
        for (int sequence = 1; sequence <= writtenAgain; ++sequence) {
            fixture.store.put(KeyedTopic::Targets, "t9", std::to_string(sequence));
        }
        const bool isListed = fixture.runUntil([&] {
            fixture.requestTargets();
            return fixture.lists("t9");
        });
        CHECK_TRUE(isListed);
    }
}

// Guards against a gateway that saturates its link and uses an old configuration although the store has the newest one.
TEST(DiscoveryClient, corruptConfigurationFromAPeerIsReadFromTheStore)
{
    ClientFixture other;
    other.store.put(KeyedTopic::Configuration, "config", "1");
    other.start();
    CHECK_TRUE(other.runUntilConfigured());
    ClientFixture fixture;
    fixture.store.put(KeyedTopic::Configuration, "config", "1");
    fixture.start();
    CHECK_TRUE(fixture.runUntilConfigured());
    fixture.reader = other.client.get();
    fixture.store.wake(); // from here on it waits for hints
    fixture.runRounds(5);
    fixture.alterUpdate = [](PeerUpdate &update) {
        if (!update.configuration.bytes.empty()) {
            update.configuration.bytes = "not packed";
            update.configuration.size = update.configuration.bytes.size();
            update.configuration.position.digest = configurationDigest(update.configuration.bytes);
        }
    };
    other.store.put(KeyedTopic::Configuration, "config", "2");
    CHECK_TRUE(other.runUntilInForce(2));
    fixture.store.put(KeyedTopic::Configuration, "config", "2");
    const int before = fixture.queries;
    fixture.client->noteRemoteUpdate(2);
    CHECK_TRUE(fixture.runUntilInForce(2));
    CHECK_EQUAL(before + 1, fixture.queries);
}
