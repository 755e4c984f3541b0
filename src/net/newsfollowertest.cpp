#include "mulberryplank/net/newsfollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

#include "fakekeyedstore.h"
#include "rununtil.h"

using namespace mulberryplank;

namespace
{

constexpr Incarnation Self = 7;

// A follower on a fake store, whose configurations are plain version numbers and whose targets' records are sequence
// numbers, with a 'd' behind them while draining.
class Following
{
public:
    Following()
        : store(context)
    {
        settings.targetsInterval = Millis(1);
        settings.retryPause = Millis(1);
        settings.storeRetry.first = Millis(1);
        settings.storeRetry.most = Millis(1);
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
            return failure(ErrorKind::BadConfiguration, "not an entry");
        }
        AnnouncedTarget target;
        target.id = TargetName(std::string(id));
        target.sequence = std::stoull(std::string(bytes));
        target.draining = bytes.ends_with('d');
        return target;
    }

    void start()
    {
        NewsHooks hooks;
        hooks.configurationKey = "config";
        hooks.decodeRoutes = decode;
        hooks.decodeTarget = decodeTarget;
        hooks.routesChanged = [this](const RouteTablePtr &table) {
            versions.push_back(table->version);
        };
        hooks.targetsRead = [this](const TargetDirectory &, bool) {
            ++targetReads;
        };
        hooks.askPeer = [this](PeerNewsRequest request) {
            return ask(request, peer);
        };
        hooks.askReader = [this](PeerNewsRequest request) {
            return ask(request, reader);
        };
        hooks.hasReader = [this] {
            return reader != nullptr;
        };
        hooks.readsConfiguration = [this] {
            return readsConfiguration;
        };
        hooks.followersNear = [this] {
            return followersNear;
        };
        hooks.storeChanged = [this](bool foundFirst) {
            ++storeChanges;
            storeFoundFirst += foundFirst ? 1 : 0;
        };
        hooks.listChanged = [this] {
            ++listChanges;
        };
        const EventSink events = [this](Event event, std::initializer_list<EventField> fields) {
            for (const EventField &field : fields) {
                if (event == Event::NewsReadFailed && field.key == "source") {
                    failedSources.push_back(field.value);
                }
            }
        };
        follower = std::make_unique<NewsFollower>(context, store.access(), settings, std::move(hooks), self, events);
        follower->start();
    }

    // Runs until `done`; returns false when that does not come about.
    bool runUntil(const std::function<bool()> &done)
    {
        return mulberryplank::runUntil(context, done);
    }

    // Runs with this configuration until it waits for the next one.
    void runWith(const std::string &version)
    {
        store.put(KeyedTopic::Configuration, "config", version);
        start();
        runUntil([this] {
            return store.calls["read configuration"] > 0;
        });
    }

    // The same as runUntil(), until there is a configuration.
    bool runUntilConfigured()
    {
        return runUntil([this] {
            return !versions.empty();
        });
    }

    // The same until this configuration is the one in force.
    bool runUntilInForce(std::uint64_t version)
    {
        return runUntil([this, version] {
            return !versions.empty() && versions.back() == version;
        });
    }

    // Lets so many rounds pass.
    void runRounds(int count)
    {
        runUntil([&count] {
            return --count < 0;
        });
    }

    // Waits for routes as a request does, and says so in `waited`.
    void awaitRoutes(bool &waited)
    {
        const std::function<DataAwaitable<void>()> wait = [this, &waited]() -> DataAwaitable<void> {
            co_await follower->awaitRoutes();
            waited = true;
        };
        boost::asio::co_spawn(context.get_executor(), wait, boost::asio::detached);
    }

    // Asks for the targets as a request does; runs until that has an answer.
    bool needTargets()
    {
        std::optional<bool> answer;
        const std::function<DataAwaitable<void>()> ask = [this, &answer]() -> DataAwaitable<void> {
            answer = co_await follower->needTargets();
        };
        boost::asio::co_spawn(context.get_executor(), ask, boost::asio::detached);
        runUntil([&answer] {
            return answer.has_value();
        });
        return answer.value_or(false);
    }

    bool lists(const std::string &id) const
    {
        return follower->directory().targets().contains(TargetName(id));
    }

    boost::asio::awaitable<Result<PeerNews>> ask(PeerNewsRequest request, NewsFollower *other)
    {
        if (other == nullptr) {
            co_return failure(ErrorKind::PeerLost, "nobody there");
        }
        ++asked;
        PeerNews news = other->answerPeer(request);
        if (spoil) {
            spoil(news);
        }
        if (whileAsked && request.wantsConfiguration && news.configuration.bytes.empty()) {
            whileAsked();
        }
        co_return news;
    }

    boost::asio::io_context context;
    FakeKeyedStore store;
    NewsSettings settings;
    std::unique_ptr<NewsFollower> follower;
    NewsFollower *peer = nullptr;
    NewsFollower *reader = nullptr;
    std::function<Result<RouteTable>(std::string_view)> decode = decodeRoutes;
    Incarnation self = Self;
    std::function<void()> whileAsked; // called while the answer that no configuration is newer is on its way
    std::function<void(PeerNews &)> spoil; // changes the answers of other processes
    int asked = 0; // how often another process answered
    std::vector<std::uint64_t> versions; // as they came into force
    int targetReads = 0;
    int listChanges = 0;
    int storeChanges = 0;
    int storeFoundFirst = 0; // of these, how often before anybody else
    std::size_t followersNear = 1;
    bool readsConfiguration = false;
    std::vector<std::string> failedSources; // as logged
};

} // namespace

TEST_GROUP(NewsFollower) {};

TEST(NewsFollower, newestConfigurationIsInForceAndEachThatFollows)
{
    Following following;
    following.store.put(KeyedTopic::Configuration, "config", "3");
    following.start();
    CHECK_TRUE(following.runUntil([&] {
        return following.versions == std::vector<std::uint64_t> { 3 };
    }));
    following.store.put(KeyedTopic::Configuration, "config", "5");
    CHECK_TRUE(following.runUntil([&] {
        return following.versions.size() == 2;
    }));
    CHECK_EQUAL(5, following.follower->routes()->version);
}

// Failure: requests are handled by an older configuration than a moment before.
TEST(NewsFollower, versionNeverGoesBack)
{
    Following following;
    following.store.put(KeyedTopic::Configuration, "config", "5");
    following.start();
    following.runUntilConfigured();
    following.store.put(KeyedTopic::Configuration, "config", "4");
    following.store.put(KeyedTopic::Configuration, "config", "6");
    CHECK_TRUE(following.runUntilInForce(6));
    CHECK_EQUAL(2, following.versions.size());
}

TEST(NewsFollower, configurationThatCannotBeReadLeavesTheLastOneInForce)
{
    Following following;
    following.store.put(KeyedTopic::Configuration, "config", "5");
    following.start();
    following.runUntilConfigured();
    following.store.put(KeyedTopic::Configuration, "config", "broken");
    following.store.put(KeyedTopic::Configuration, "config", "7");
    CHECK_TRUE(following.runUntilInForce(7));
}

TEST(NewsFollower, droppedHistoryLeadsToTheNewestConfiguration)
{
    Following following;
    following.store.put(KeyedTopic::Configuration, "config", "1");
    following.start();
    following.runUntil([&] {
        return following.store.calls["read configuration"] > 0;
    });
    following.store.put(KeyedTopic::Configuration, "config", "2");
    following.store.put(KeyedTopic::Configuration, "config", "3");
    following.store.dropHistory(KeyedTopic::Configuration);
    CHECK_TRUE(following.runUntilInForce(3));
}

TEST(NewsFollower, storeThatFailsIsAskedAgain)
{
    Following following;
    following.store.put(KeyedTopic::Configuration, "config", "1");
    following.store.failuresLeft = 3;
    following.start();
    CHECK_TRUE(following.runUntilConfigured());
}

// Failure: one process goes by an old configuration for as long as the store turns it away.
TEST(NewsFollower, processThatTheStoreTurnsAwayLearnsFromAnother)
{
    Following well;
    well.settings.targetsInterval = Seconds(10); // its list stays up to date
    well.store.put(KeyedTopic::Configuration, "config", "9");
    well.store.put(KeyedTopic::Targets, "i-1", "1");
    well.start();
    well.runUntilConfigured();
    CHECK_TRUE(well.needTargets());
    Following turnedAway;
    turnedAway.store.away = true;
    turnedAway.peer = well.follower.get();
    turnedAway.start();
    CHECK_TRUE(turnedAway.runUntilConfigured());
    CHECK_TRUE(turnedAway.needTargets());
    CHECK_TRUE(turnedAway.lists("i-1"));
}

TEST(NewsFollower, versionThatOthersHaveIsAskedFor)
{
    Following following;
    following.store.put(KeyedTopic::Configuration, "config", "1");
    following.start();
    following.runUntil([&] {
        return following.store.calls["read configuration"] > 0;
    });
    // The read that waits has gone silent: it hears nothing of the new version.
    const int before = following.store.calls["newest configuration"];
    following.follower->noteVersionElsewhere(2);
    CHECK_TRUE(following.runUntil([&] {
        return following.store.calls["newest configuration"] > before;
    }));
}

TEST(NewsFollower, slowReadOfTheStoreDoesNotKeepANewerVersionOfOthersAway)
{
    Following ahead;
    ahead.runWith("5");
    Following following;
    following.runWith("3");
    following.store.newestIsSlow = true;
    following.store.failuresLeft = 1;
    following.store.wake();
    following.runUntil([&] {
        return following.store.calls["newest configuration"] > 1;
    });
    following.peer = ahead.follower.get();
    following.follower->noteVersionElsewhere(5);
    CHECK_TRUE(following.runUntilInForce(5));
}

TEST(NewsFollower, secondReaderHasAConfigurationThatTheFirstIsNotGiven)
{
    Following silenced;
    silenced.runWith("3");
    Following second;
    second.readsConfiguration = true;
    second.reader = silenced.follower.get();
    second.store.put(KeyedTopic::Configuration, "config", "5");
    second.start();
    CHECK_TRUE(second.runUntilInForce(5));
}

TEST(NewsFollower, versionToldWhileItCatchesUpFromTheStoreIsAskedFor)
{
    Following ahead;
    ahead.runWith("5");
    Following following;
    following.runWith("3");
    following.store.newestIsSlow = true;
    following.follower->noteVersionElsewhere(4);
    following.runUntil([&] {
        return following.store.calls["newest configuration"] > 1;
    });
    following.peer = ahead.follower.get();
    following.follower->noteVersionElsewhere(5);
    CHECK_TRUE(following.runUntilInForce(5));
}

TEST(NewsFollower, targetsAreNotReadBeforeTheyAreNeeded)
{
    Following following;
    following.store.put(KeyedTopic::Configuration, "config", "1");
    following.store.put(KeyedTopic::Targets, "i-1", "1");
    following.start();
    following.runUntilConfigured();
    CHECK_EQUAL(0, following.targetReads);
    CHECK_TRUE(following.needTargets());
    CHECK_TRUE(following.lists("i-1"));
}

TEST(NewsFollower, targetsThatComeDrainAndGoAreFollowed)
{
    Following following;
    following.store.put(KeyedTopic::Targets, "i-1", "1");
    following.start();
    following.needTargets();
    following.store.put(KeyedTopic::Targets, "i-2", "1");
    following.store.put(KeyedTopic::Targets, "i-1", "2d");
    CHECK_TRUE(following.runUntil([&] {
        return following.lists("i-2");
    }));
    CHECK_TRUE(following.follower->directory().targets().at(TargetName("i-1")).target.draining);
    following.store.put(KeyedTopic::Targets, "i-1", std::nullopt);
    CHECK_TRUE(following.runUntil([&] {
        return !following.lists("i-1");
    }));
    CHECK_TRUE(following.listChanges >= 3);
}

// Failure: a target that leaves gets requests for seconds where the store no longer keeps the records after the list.
TEST(NewsFollower, droppedHistoryOfTargetsLeadsToTheNewestList)
{
    Following following;
    following.store.put(KeyedTopic::Targets, "i-1", "1");
    following.start();
    CHECK_TRUE(following.needTargets());
    following.store.put(KeyedTopic::Targets, "i-1", "2d");
    following.store.dropHistory(KeyedTopic::Targets);
    int &reads = following.store.calls["read targets"];
    const int before = reads;
    CHECK_TRUE(following.runUntil([&] {
        return following.follower->directory().targets().at(TargetName("i-1")).target.draining || reads > before + 2;
    }));
    CHECK_TRUE(following.follower->directory().targets().at(TargetName("i-1")).target.draining);
}

TEST(NewsFollower, requestsDoNotWaitForAListThatNobodyHas)
{
    Following following;
    following.settings.targetsWait = std::chrono::hours(1);
    following.store.put(KeyedTopic::Targets, "i-1", "1");
    following.start();
    following.needTargets();
    following.store.away = true;
    constexpr int Failures = 20; // after these the list is too old
    const int before = following.targetReads;
    following.runUntil([&] {
        return following.targetReads >= before + Failures;
    });
    CHECK_TRUE(following.needTargets());
}

// Failure: requests go to what an entry named that somebody else has overwritten, or no target is known any more.
TEST(NewsFollower, entryThatCannotBeReadNamesNoTargetAndTheOthersHold)
{
    Following following;
    following.settings.targetsInterval = Millis(5);
    following.store.put(KeyedTopic::Targets, "i-1", "1");
    following.store.put(KeyedTopic::Targets, "i-2", "1");
    following.store.put(KeyedTopic::Targets, "i-3", "unreadable");
    following.start();
    CHECK_TRUE(following.needTargets());
    CHECK_TRUE(following.lists("i-1") && following.lists("i-2"));
    CHECK_FALSE(following.lists("i-3"));
    following.store.put(KeyedTopic::Targets, "i-1", "unreadable");
    following.store.put(KeyedTopic::Targets, "i-4", "1");
    CHECK_TRUE(following.runUntil([&] {
        return following.lists("i-4");
    }));
    CHECK_FALSE(following.lists("i-1"));
    CHECK_TRUE(following.lists("i-2"));
}

TEST(NewsFollower, heartbeatsAreNoChangesForOtherProcesses)
{
    Following following;
    following.store.put(KeyedTopic::Targets, "i-1", "1");
    following.start();
    following.needTargets();
    const int before = following.listChanges;
    const int reads = following.targetReads;
    following.store.put(KeyedTopic::Targets, "i-1", "2");
    following.runUntil([&] {
        return following.targetReads > reads + 3;
    });
    CHECK_EQUAL(before, following.listChanges);
}

TEST(NewsFollower, whereAnotherProcessReadsTheStoreIsLeftAlone)
{
    Following reading;
    reading.settings.targetsInterval = Seconds(10); // its list stays up to date
    reading.store.put(KeyedTopic::Targets, "i-1", "1");
    reading.start();
    reading.needTargets();
    Following following;
    following.reader = reading.follower.get();
    following.start();
    CHECK_TRUE(following.needTargets());
    CHECK_TRUE(following.lists("i-1"));
    CHECK_EQUAL(0, following.store.calls["newest targets"]);
}

// Failure: for a second after each change the lists of targets come too late, and gateways read them from the store.
TEST(NewsFollower, changeOfOneTargetIsToldAlone)
{
    Following reading;
    reading.settings.targetsInterval = Millis(200);
    for (int i = 0; i < 100; ++i) {
        reading.store.put(KeyedTopic::Targets, "i-" + std::to_string(i), "1");
    }
    reading.start();
    reading.needTargets();
    Following following;
    following.reader = reading.follower.get();
    std::size_t lists = 0;
    std::size_t changes = 0;
    following.spoil = [&](const PeerNews &news) {
        lists += news.packedTargets.empty() ? 0 : 1;
        changes += news.changed.size() + news.gone.size();
    };
    following.start();
    CHECK_TRUE(following.needTargets());
    CHECK_EQUAL(1, lists);
    reading.store.put(KeyedTopic::Targets, "i-7", "2d");
    reading.store.put(KeyedTopic::Targets, "i-8", std::nullopt);
    const TargetName draining("i-7");
    CHECK_TRUE(reading.runUntil([&] {
        return reading.follower->directory().targets().at(draining).target.draining && !reading.lists("i-8");
    }));
    following.follower->noteNewsElsewhere();
    CHECK_TRUE(following.runUntil([&] {
        return following.follower->directory().targets().at(draining).target.draining && !following.lists("i-8");
    }));
    CHECK_EQUAL(1, lists);
    CHECK_EQUAL(2, changes);
    CHECK_EQUAL(99, following.follower->directory().targets().size());
}

// Failure: a store that has just served a whole fleet's start is asked for all targets by every process.
TEST(NewsFollower, readerThatIsStillReadingIsAskedAgain)
{
    Following reading;
    reading.store.put(KeyedTopic::Targets, "i-1", "1");
    reading.settings.targetsInterval = Seconds(10); // its list stays up to date
    reading.start();
    Following following;
    following.settings.listPause = Millis(1);
    following.reader = reading.follower.get();
    following.spoil = [&](const PeerNews &) {
        reading.runRounds(5);
    };
    following.start();
    CHECK_TRUE(following.needTargets());
    CHECK_TRUE(following.lists("i-1"));
    CHECK_EQUAL(0, following.store.calls["newest targets"]);
}

// Failure: a target gets requests more than three seconds after it said that it leaves.
TEST(NewsFollower, readerWhoseListIsOldIsNotWaitedFor)
{
    Following reading;
    reading.settings.targetsInterval = {}; // its list is too old as soon as it is read
    reading.store.put(KeyedTopic::Targets, "i-1", "1");
    reading.start();
    CHECK_TRUE(reading.needTargets());
    Following following;
    following.settings.listPause = Seconds(60);
    following.reader = reading.follower.get();
    following.store.put(KeyedTopic::Targets, "i-1", "1");
    following.store.put(KeyedTopic::Targets, "i-1", "2d");
    following.start();
    CHECK_TRUE(following.needTargets());
    CHECK_TRUE(following.follower->directory().targets().at(TargetName("i-1")).target.draining);
    CHECK_EQUAL(0, following.store.calls["newest targets"]); // the records after the old list are enough
}

// Failure: a process goes by its old list in an outage, though others have a newer one.
TEST(NewsFollower, listThatIsOldButNewerThanItsOwnIsTaken)
{
    Following reading;
    reading.self = Self + 1;
    reading.settings.targetsInterval = {}; // its list is too old as soon as it is read
    reading.store.put(KeyedTopic::Targets, "i-1", "1");
    reading.store.put(KeyedTopic::Targets, "i-1", "2d");
    reading.start();
    reading.needTargets();
    Following following;
    following.settings.targetsWait = Millis(5);
    following.store.put(KeyedTopic::Targets, "i-1", "1");
    following.start();
    following.needTargets();
    following.store.away = true;
    following.peer = reading.follower.get();
    CHECK_TRUE(following.runUntil([&] {
        following.needTargets();
        return following.follower->directory().targets().at(TargetName("i-1")).target.draining;
    }));
}

// Failure: in an outage whole lists are sent again and again.
TEST(NewsFollower, listThatIsOldIsNotToldToWhoHasIt)
{
    Following reading;
    reading.settings.targetsInterval = {};
    reading.store.put(KeyedTopic::Targets, "i-1", "1");
    reading.start();
    reading.needTargets();
    PeerNewsRequest request;
    request.wantsTargets = true;
    request.targetsNext = 1;
    CHECK_FALSE(reading.follower->answerPeer(request).hasTargets);
    request.targetsNext = 0;
    CHECK_TRUE(reading.follower->answerPeer(request).hasTargets);
}

TEST(NewsFollower, listThatIsOldWhenItComesIsSoonReadAgain)
{
    Following reading;
    reading.settings.targetsInterval = std::chrono::hours(1);
    reading.store.put(KeyedTopic::Targets, "i-1", "1");
    reading.start();
    reading.needTargets();
    Following following;
    following.reader = reading.follower.get();
    following.settings.targetsInterval = std::chrono::hours(1);
    following.settings.targetsMostAge = std::chrono::hours(2);
    following.settings.targetsRenewalAge = std::chrono::hours(2);
    following.spoil = [](PeerNews &news) {
        news.ageMillis = std::chrono::duration_cast<Millis>(std::chrono::hours(2)).count();
    };
    following.start();
    following.needTargets();
    const int before = following.targetReads;
    CHECK_TRUE(following.runUntil([&] {
        return following.targetReads > before;
    }));
}

// Failure: a fleet's first start costs the store two calls for each process.
TEST(NewsFollower, processWithoutConfigurationWaitsForItsReader)
{
    Following reading;
    reading.start();
    Following following;
    following.reader = reading.follower.get();
    following.settings.firstInterval = Millis(5);
    following.start();
    following.runUntil([&] {
        return following.asked > 3;
    });
    reading.store.put(KeyedTopic::Configuration, "config", "1");
    CHECK_TRUE(reading.runUntilConfigured());
    CHECK_TRUE(following.runUntilConfigured());
    CHECK_EQUAL(0, following.store.calls.size());
}

// Failure: after a loss of all power the requests of the first half second are refused, and their callers don't return.
TEST(NewsFollower, requestThatComesBeforeTheRoutesWaitsForThem)
{
    Following following;
    following.settings.routesWait = Seconds(20);
    following.start();
    bool waited = false;
    following.awaitRoutes(waited);
    following.runRounds(5);
    CHECK_FALSE(waited);
    following.store.put(KeyedTopic::Configuration, "config", "1");
    CHECK_TRUE(following.runUntil([&] {
        return waited;
    }));
    CHECK_EQUAL(1, following.versions.size());
}

TEST(NewsFollower, requestThatComesLongAfterTheStartDoesNotWaitForRoutes)
{
    Following following;
    following.settings.routesWait = {};
    following.start();
    bool waited = false;
    following.awaitRoutes(waited);
    following.context.poll();
    CHECK_TRUE(waited);
}

TEST(NewsFollower, whereTheReaderHasNothingTheStoreIsAsked)
{
    Following reading; // has started, and has read nothing
    reading.store.away = true;
    reading.start();
    Following following;
    following.reader = reading.follower.get();
    following.store.put(KeyedTopic::Targets, "i-1", "1");
    following.start();
    CHECK_TRUE(following.needTargets());
    CHECK_TRUE(following.lists("i-1"));
}

TEST(NewsFollower, withoutAnySourceThereAreNoTargets)
{
    Following following;
    following.settings.targetsWait = Millis(5);
    following.store.away = true;
    following.start();
    CHECK_FALSE(following.needTargets());
}

// Failure: all processes go by an old configuration for seconds, though the store serves most of them.
TEST(NewsFollower, whereTheReaderIsTurnedAwayTheConfigurationIsReadFromTheStore)
{
    Following reading;
    reading.store.put(KeyedTopic::Configuration, "config", "1");
    reading.start();
    reading.runUntilConfigured();
    Following following;
    following.settings.configurationInterval = Millis(1);
    following.store.put(KeyedTopic::Configuration, "config", "1");
    following.reader = reading.follower.get();
    following.start();
    following.runUntilConfigured();
    reading.store.away = true;
    reading.store.wake();
    CHECK_TRUE(reading.runUntil([&] {
        return reading.storeChanges > 0;
    }));
    following.store.put(KeyedTopic::Configuration, "config", "2");
    CHECK_TRUE(following.runUntilInForce(2));
}

// Failure: an outage of the store costs thousands of calls.
TEST(NewsFollower, whereNobodyIsServedThoseWhoAreManyTryRarely)
{
    Following reader;
    reader.store.put(KeyedTopic::Configuration, "config", "1");
    reader.start();
    CHECK_TRUE(reader.runUntilConfigured());
    Following many;
    many.store.put(KeyedTopic::Configuration, "config", "1");
    many.followersNear = 40;
    many.settings.configurationInterval = Millis(1);
    many.settings.storeRetry.maxSharedDelay = Seconds(60);
    many.settings.storeRetry.sharedCallsPerSecond = 1;
    many.start();
    CHECK_TRUE(many.runUntilConfigured());
    many.reader = reader.follower.get();
    many.store.away = true;
    reader.store.away = true;
    reader.store.wake();
    CHECK_TRUE(reader.runUntil([&] {
        return !reader.follower->storeAnswers();
    }));
    many.store.wake();
    many.runUntil([&] {
        return !many.follower->storeAnswers();
    });
    const int before = many.store.calls["newest configuration"];
    many.runRounds(200);
    CHECK_TRUE(many.store.calls["newest configuration"] <= before + 1);
    // A hint ends the pause.
    many.store.away = false;
    many.store.put(KeyedTopic::Configuration, "config", "2");
    many.follower->noteNewsElsewhere();
    CHECK_TRUE(many.runUntilInForce(2));
    CHECK_EQUAL(0, many.storeFoundFirst);
}

// Failure: a gateway goes by an old configuration for seconds, and nothing in its log says why.
TEST(NewsFollower, failedReadIsLoggedWithItsSource)
{
    Following following;
    following.store.put(KeyedTopic::Configuration, "config", "1");
    following.store.failuresLeft = 1;
    following.start();
    CHECK_TRUE(following.runUntilConfigured());
    CHECK_EQUAL(1, following.failedSources.size()); // that nobody could be asked instead came within the same second
    STRCMP_EQUAL("store", following.failedSources.front().c_str());
}

// Failure: a gateway learns of a new configuration ten seconds late, though it was told of it.
TEST(NewsFollower, hintThatComesWhileItAsksIsNotForgotten)
{
    Following reading;
    reading.store.put(KeyedTopic::Configuration, "config", "1");
    reading.start();
    CHECK_TRUE(reading.runUntilConfigured());
    Following following;
    following.settings.configurationInterval = Seconds(60);
    following.store.put(KeyedTopic::Configuration, "config", "1");
    following.reader = reading.follower.get();
    following.start();
    CHECK_TRUE(following.runUntilConfigured());
    following.store.wake();
    reading.store.put(KeyedTopic::Configuration, "config", "2");
    CHECK_TRUE(reading.runUntilInForce(2));
    following.whileAsked = [&] {
        following.whileAsked = nullptr;
        reading.store.put(KeyedTopic::Configuration, "config", "3");
        reading.runUntilInForce(3);
        following.follower->noteNewsElsewhere(3);
    };
    following.follower->noteNewsElsewhere(2);
    CHECK_TRUE(following.runUntilInForce(3));
    CHECK_FALSE(static_cast<bool>(following.whileAsked));
}

// Failure: gateways of an older version fill their links with a configuration that they can't use.
TEST(NewsFollower, configurationThatCannotBeReadIsAskedForOnce)
{
    Following other;
    other.store.put(KeyedTopic::Configuration, "config", "2");
    other.start();
    CHECK_TRUE(other.runUntilConfigured());
    Following following;
    following.decode = [](std::string_view bytes) -> Result<RouteTable> {
        return bytes == "2" ? failure(ErrorKind::BadConfiguration, "of a newer kind") : Following::decodeRoutes(bytes);
    };
    following.store.put(KeyedTopic::Configuration, "config", "1");
    following.peer = other.follower.get();
    following.start();
    CHECK_TRUE(following.runUntilConfigured());
    int rounds = 0;
    following.runUntil([&] {
        following.follower->noteVersionElsewhere(2);
        return ++rounds > 100;
    });
    CHECK_EQUAL(1, following.asked);
    CHECK_EQUAL(1, following.follower->routes()->version);
}

// Failure: a gateway keeps its link busy and goes by an old configuration, though the store has the newest one.
TEST(NewsFollower, configurationThatCannotBeUnpackedIsReadFromTheStore)
{
    Following other;
    other.store.put(KeyedTopic::Configuration, "config", "1");
    other.start();
    CHECK_TRUE(other.runUntilConfigured());
    Following following;
    following.store.put(KeyedTopic::Configuration, "config", "1");
    following.start();
    CHECK_TRUE(following.runUntilConfigured());
    following.reader = other.follower.get();
    following.store.wake(); // from here on it waits to be told
    following.runRounds(5);
    following.spoil = [](PeerNews &news) {
        if (!news.configuration.bytes.empty()) {
            news.configuration.bytes = "not packed";
            news.configuration.size = news.configuration.bytes.size();
            news.configuration.position.digest = configurationDigest(news.configuration.bytes);
        }
    };
    other.store.put(KeyedTopic::Configuration, "config", "2");
    CHECK_TRUE(other.runUntilInForce(2));
    following.store.put(KeyedTopic::Configuration, "config", "2");
    const int before = following.asked;
    following.follower->noteNewsElsewhere(2);
    CHECK_TRUE(following.runUntilInForce(2));
    CHECK_EQUAL(before + 1, following.asked);
}
