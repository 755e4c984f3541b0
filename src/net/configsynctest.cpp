#include "mulberryplank/net/configsync.h"

#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <rapidcheck.h>

#include "../policy/configtestdata.h"
#include "mulberryplank/policy/pollerchoice.h"
#include "mulberryplank/policy/snapshotparts.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;
using namespace mulberryplank::testdata;

namespace asio = boost::asio;

namespace
{

// Answers at once from memory.
struct FakeStream {
    std::vector<std::string> records;
    Offset first = 0;
};

struct FakePlatform {
    std::map<std::string, FakeStream> streams;
    bool down = false;
    int readsUntilDown = -1; // negative: never
    int lostResponses = 0; // how many appends take effect without an answer

    LogPage page(const std::string &name, Offset from, std::size_t maxRecords)
    {
        const FakeStream &stream = streams[name];
        LogPage result { stream.first, stream.records.size(), {} };
        for (Offset offset = std::max(from, stream.first); offset < result.next && result.records.size() < maxRecords;
             ++offset) {
            result.records.push_back({ offset, stream.records[offset] });
        }
        return result;
    }

    LogAccess access(const bool &cut)
    {
        LogAccess log;
        log.read =
            [this,
             &cut](std::string name, Offset from, std::size_t maxRecords, Millis) -> asio::awaitable<Result<LogPage>> {
            down = down || readsUntilDown == 0;
            if (down || cut) {
                co_return failure(ErrorKind::PlatformUnavailable, "away");
            }
            --readsUntilDown;
            co_return page(name, from, maxRecords);
        };
        log.append = [this, &cut](std::string name, std::string record) -> asio::awaitable<Result<Offset>> {
            if (down || cut) {
                co_return failure(ErrorKind::PlatformUnavailable, "away");
            }
            streams[name].records.push_back(std::move(record));
            if (lostResponses > 0) {
                --lostResponses;
                co_return failure(ErrorKind::PlatformUnavailable, "no answer");
            }
            co_return streams[name].records.size() - 1;
        };
        return log;
    }
};

// A few proxies in one thread, whose links and clock the test controls.
class FakeFleet
{
public:
    struct Proxy {
        std::unique_ptr<ConfigState> state;
        std::unique_ptr<ConfigSync> sync;
        bool cutFromLog = false;
        bool isolated = false; // datagrams and calls from others are lost
    };

    explicit FakeFleet(std::size_t size)
        : m_proxies(size)
    {
        for (std::size_t index = 0; index < size; ++index) {
            restart(index);
        }
    }

    void restart(std::size_t index)
    {
        Proxy &proxy = m_proxies[index];
        proxy.sync.reset();
        proxy.state = std::make_unique<ConfigState>(3'000);
        ConfigSync::Settings settings;
        settings.self = nameOf(index);
        settings.pollersPerDomain = 1;
        settings.pushFanout = 2;
        settings.pageRecords = 5;
        settings.retryInterval = Duration(0);
        settings.seed = index;
        ConfigPeerAccess peers;
        peers.push = [this, index](const Endpoint &to, std::string_view payload) -> Result<void> {
            m_datagrams.push_back({ index, to.port, std::string(payload) });
            return {};
        };
        peers.pull = [this, index](Endpoint to, std::string payload) -> asio::awaitable<Result<std::string>> {
            if (m_proxies[to.port].isolated || m_proxies[index].isolated) {
                co_return failure(ErrorKind::ConnectFailed, "cut");
            }
            co_return m_proxies[to.port].sync->onPull({ nameOf(index), 1, {} }, payload);
        };
        proxy.sync = std::make_unique<ConfigSync>(
            context,
            *proxy.state,
            settings,
            platform.access(proxy.cutFromLog),
            peers,
            [this] {
                return members();
            },
            [this](Event event, std::initializer_list<EventField>) {
                events.push_back(event);
            },
            [this] {
                return m_now += Millis(1);
            });
    }

    // Runs a coroutine, and whatever it starts, to its end.
    template<typename T>
    T run(asio::awaitable<T> task)
    {
        std::optional<T> result;
        asio::co_spawn(context, std::move(task), [&](std::exception_ptr, T value) {
            result = std::move(value);
        });
        context.restart();
        context.run();
        return std::move(*result);
    }

    void run(asio::awaitable<void> task)
    {
        asio::co_spawn(context, std::move(task), asio::detached);
        context.restart();
        context.run();
    }

    // Passes on the datagrams under way, but for those that `lose` picks.
    void deliver(const std::function<bool()> &lose = [] {
        return false;
    })
    {
        std::vector<Datagram> sent;
        sent.swap(m_datagrams);
        for (const Datagram &datagram : sent) {
            if (!lose() && !m_proxies[datagram.to].isolated) {
                m_proxies[datagram.to].sync->onPush({ nameOf(datagram.from), 1, {} }, datagram.payload);
            }
        }
        context.restart();
        context.run();
    }

    void step(std::size_t index)
    {
        ConfigSync &sync = *m_proxies[index].sync;
        if (sync.shouldReadLog()) {
            run(sync.readLog(Millis(1)));
        }
        sync.gossip();
        run(sync.repair());
        run(sync.maintainSnapshots());
    }

    // Lets every proxy act and hear a few times.
    void runRounds(int rounds = 12)
    {
        for (int round = 0; round < rounds; ++round) {
            m_now += Seconds(1);
            for (std::size_t index = 0; index < m_proxies.size(); ++index) {
                step(index);
            }
            deliver();
        }
    }

    void advance(Duration duration)
    {
        m_now += duration;
    }

    Proxy &at(std::size_t index)
    {
        return m_proxies[index];
    }

    std::vector<Member> members() const
    {
        std::vector<Member> all;
        for (std::size_t index = 0; index < m_proxies.size(); ++index) {
            Member member;
            member.vm = nameOf(index);
            member.peer = { "127.0.0.1", static_cast<std::uint16_t>(index) };
            member.failureDomain = FailureDomain(index % 2 == 0 ? "klein-hall" : "lafrenz-hall");
            all.push_back(member);
        }
        return all;
    }

    static VmName nameOf(std::size_t index)
    {
        return VmName("vm" + std::to_string(index));
    }

    std::size_t count(Event event) const
    {
        return static_cast<std::size_t>(std::count(events.begin(), events.end(), event));
    }

    asio::io_context context { 1 };
    FakePlatform platform;
    std::vector<Event> events;

private:
    struct Datagram {
        std::size_t from;
        std::size_t to;
        std::string payload;
    };

    Instant m_now = Instant() + Seconds(10'000);
    std::vector<Datagram> m_datagrams;
    std::vector<Proxy> m_proxies;
};

Edit accountEdit(const std::string &name)
{
    return { EditId("edit-" + name), { { account(name), false } } };
}

} // namespace

TEST_GROUP(ConfigSync)
{
    FakeFleet m_fleet { 4 };

    ConfigSync &sync(std::size_t index)
    {
        return *m_fleet.at(index).sync;
    }

    Result<EditOutcome> submit(std::size_t index, const std::string &name)
    {
        return m_fleet.run(sync(index).submit(accountEdit(name), Seconds(2)));
    }

    void checkAllApplied(Offset applied)
    {
        for (std::size_t index = 0; index < 4; ++index) {
            LONGS_EQUAL(applied, m_fleet.at(index).state->applied());
        }
    }
};

TEST(ConfigSync, acceptedEditReachesEveryLiveProxy)
{
    CHECK_TRUE(rc::check("over random edits, losses, cuts, outages, expiry and restarts", [] {
        constexpr std::size_t Size = 4;
        FakeFleet fleet(Size);
        fleet.runRounds(2);
        const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
        std::set<std::string> accepted;
        int edits = 0;
        for (const std::uint32_t step : *rc::gen::resize(60, rc::gen::container<std::vector<std::uint32_t>>(number))) {
            NumberSource draw(step);
            const std::size_t index = draw.below(Size);
            FakeFleet::Proxy &proxy = fleet.at(index);
            const Offset before = proxy.state->applied();
            bool restarted = false;
            switch (draw.below(10)) {
            case 0:
                proxy.cutFromLog = !proxy.cutFromLog;
                break;
            case 1:
                proxy.isolated = !proxy.isolated;
                break;
            case 2:
                fleet.platform.down = !fleet.platform.down;
                break;
            case 3:
                fleet.platform.lostResponses = 1;
                break;
            case 4:
                fleet.restart(index);
                restarted = true;
                break;
            case 5: { // records expire, but for those that no snapshot holds yet
                SnapshotAssembler assembler;
                for (const std::string &record : fleet.platform.streams[SnapshotStream].records) {
                    assembler.add(record);
                }
                FakeStream &stream = fleet.platform.streams[ConfigStream];
                const auto newest = assembler.newest();
                stream.first = std::max(stream.first, newest ? newest->next : 0);
                break;
            }
            case 6:
            case 7: {
                const std::string name = "a" + std::to_string(edits++);
                const auto outcome = fleet.run(proxy.sync->submit(accountEdit(name), Millis(40)));
                if (outcome && outcome->status == EditStatus::Accepted) {
                    accepted.insert(name);
                }
                break;
            }
            case 8:
                fleet.advance(Seconds(700));
                break;
            default:
                fleet.step(index);
                fleet.deliver([&] {
                    return draw.below(3) == 0;
                });
            }
            RC_ASSERT(restarted || proxy.state->applied() >= before);
        }
        fleet.platform.down = false;
        for (std::size_t index = 0; index < Size; ++index) {
            fleet.at(index).cutFromLog = false;
            fleet.at(index).isolated = false;
        }
        fleet.runRounds();
        for (std::size_t index = 0; index < Size; ++index) {
            RC_ASSERT(fleet.at(index).sync->status().ready());
            RC_ASSERT(fleet.at(index).state->applied() == fleet.platform.streams[ConfigStream].records.size());
            for (const std::string &name : accepted) {
                RC_ASSERT(fleet.at(index).state->accountDigest(AccountName(name)).has_value());
            }
        }
        RC_ASSERT(fleet.count(Event::LogWentBack) == 0U);
    }));
}

// The platform's answer to an append is lost after the write took effect.
// A command that gives up would call an edit unknown that is in force; one that appends a new edit would apply it
// twice.
TEST(ConfigSync, submitReturnsTheOutcomeWhenTheAppendResponseIsLost)
{
    m_fleet.runRounds(2);
    m_fleet.platform.lostResponses = 1;
    const auto outcome = submit(0, "a");
    CHECK_TRUE(outcome.has_value());
    CHECK_TRUE(outcome->status == EditStatus::Accepted);
    LONGS_EQUAL(1, m_fleet.platform.streams[ConfigStream].records.size());
}

// An operator edits while the log is away, and again with the same id once it is back, at another proxy.
TEST(ConfigSync, editDuringAnOutageIsNotAcceptedAndSafeToRepeat)
{
    m_fleet.runRounds(2);
    m_fleet.platform.down = true;
    const auto refused = submit(0, "a");
    CHECK_TRUE(refused.error().kind == ErrorKind::PlatformUnavailable);
    STRCMP_CONTAINS("may be submitted again with the same id", refused.error().detail.c_str());
    m_fleet.platform.down = false;
    CHECK_TRUE(submit(1, "a")->status == EditStatus::Accepted);
    CHECK_TRUE(submit(0, "a")->status == EditStatus::Accepted);
    m_fleet.runRounds();
    checkAllApplied(1);
}

// One proxy is cut off from the log, another hears no peer, whichever of them it is that reads the log for the others.
TEST(ConfigSync, proxyCutFromTheLogOrFromPeersStillReceivesEdits)
{
    for (std::size_t cut = 0; cut < 4; ++cut) {
        FakeFleet fleet(4);
        fleet.runRounds(2);
        fleet.at(cut).cutFromLog = true;
        fleet.at((cut + 1) % 4).isolated = true;
        const auto outcome = fleet.run(fleet.at((cut + 2) % 4).sync->submit(accountEdit("a"), Seconds(2)));
        CHECK_TRUE(outcome->status == EditStatus::Accepted);
        fleet.runRounds();
        for (std::size_t index = 0; index < 4; ++index) {
            LONGS_EQUAL(1, fleet.at(index).state->applied());
        }
    }
}

TEST(ConfigSync, onlyPollersReadTheLogWhilePeersRespond)
{
    m_fleet.runRounds();
    std::size_t readers = 0;
    for (std::size_t index = 0; index < 4; ++index) {
        readers += sync(index).shouldReadLog() ? 1 : 0;
    }
    LONGS_EQUAL(2, readers);
}

// One in three VMs is replaced while the log is away.
TEST(ConfigSync, newProxyGetsItsStateFromPeersDuringALogOutage)
{
    m_fleet.runRounds(2);
    CHECK_TRUE(submit(0, "a")->status == EditStatus::Accepted);
    m_fleet.runRounds();
    m_fleet.platform.down = true;
    m_fleet.restart(0);
    CHECK_FALSE(sync(0).status().ready());
    m_fleet.runRounds();
    CHECK_TRUE(sync(0).status().ready());
    checkAllApplied(1);
}

// The whole fleet is restarted while the log is away, so nobody knows the table.
// A proxy that took the empty table for the configuration would refuse every client account.
TEST(ConfigSync, fleetRestartedWithoutLogIsNotReadyUntilASnapshotIsLoaded)
{
    m_fleet.runRounds(2);
    CHECK_TRUE(submit(0, "a")->status == EditStatus::Accepted);
    std::string lastKnown;
    m_fleet.at(0).state->read([&](const ConfigTable &table) {
        lastKnown = table.snapshot();
    });
    m_fleet.platform.down = true;
    for (std::size_t index = 0; index < 4; ++index) {
        m_fleet.restart(index);
    }
    m_fleet.runRounds();
    CHECK_TRUE(sync(3).status().phase == ConfigPhase::NoSource);
    CHECK_TRUE(sync(0).loadLastKnown(lastKnown).has_value());
    m_fleet.runRounds();
    CHECK_TRUE(sync(3).status().ready());
    checkAllApplied(1);
}

// The log is made anew from offset 0, and grows past what the fleet has applied.
// Proxies that follow by offset would revert edits, or mix two histories.
TEST(ConfigSync, recreatedLogIsReportedAndNotFollowed)
{
    m_fleet.runRounds(2);
    CHECK_TRUE(submit(0, "a")->status == EditStatus::Accepted);
    m_fleet.runRounds();
    auto &records = m_fleet.platform.streams[ConfigStream].records;
    records = { record("x", { { account("x"), false } }), record("y", { { account("y"), false } }) };
    m_fleet.runRounds();
    checkAllApplied(1);
    CHECK_TRUE(m_fleet.count(Event::LogWentBack) > 0);
    CHECK_TRUE(submit(0, "b").error().kind == ErrorKind::PlatformUnavailable);
    LONGS_EQUAL(2, records.size());
}

// A fresh proxy has read a part of the log when the log goes away.
// Serving by that part would bring back rows that were removed since.
TEST(ConfigSync, proxyWithAPartOfTheLogIsNotReady)
{
    m_fleet.runRounds(2);
    for (int count = 0; count < 12; ++count) {
        CHECK_TRUE(submit(0, "a" + std::to_string(count))->status == EditStatus::Accepted);
    }
    m_fleet.platform.streams[SnapshotStream].records.clear();
    m_fleet.restart(0);
    m_fleet.at(0).isolated = true;
    m_fleet.platform.readsUntilDown = 2; // the snapshots, and one page of five records
    CHECK_FALSE(m_fleet.run(sync(0).readLog(Millis(1))));
    LONGS_EQUAL(5, m_fleet.at(0).state->applied());
    CHECK_FALSE(sync(0).status().ready());
}

// The log was made anew and is empty when one proxy restarts, and the others still hold the table.
TEST(ConfigSync, emptyLogIsNotAnEmptyTableUntilPeersWereQueried)
{
    m_fleet.runRounds(2);
    CHECK_TRUE(submit(0, "a")->status == EditStatus::Accepted);
    m_fleet.runRounds();
    m_fleet.platform.streams.clear();
    m_fleet.restart(0);
    m_fleet.run(sync(0).readLog(Millis(1)));
    CHECK_FALSE(sync(0).status().ready());
    m_fleet.runRounds();
    CHECK_TRUE(sync(0).status().ready());
    CHECK_TRUE(m_fleet.count(Event::LogWentBack) > 0);
    checkAllApplied(1);
}

// Every record of the log has expired, edits and snapshots apart.
TEST(ConfigSync, fleetStartsFromASnapshotWhenRecordsHaveExpired)
{
    m_fleet.runRounds(2);
    CHECK_TRUE(submit(0, "a")->status == EditStatus::Accepted);
    m_fleet.runRounds();
    CHECK_TRUE(m_fleet.count(Event::SnapshotPublished) > 0);
    m_fleet.platform.streams[ConfigStream].first = 1;
    for (std::size_t index = 0; index < 4; ++index) {
        m_fleet.restart(index);
    }
    m_fleet.runRounds();
    checkAllApplied(1);
    CHECK_TRUE(sync(0).status().ready());
}

TEST(ConfigSync, leavingMemberChangesAtMostOnePoller)
{
    auto members = m_fleet.members();
    const auto before = pollers(members, 1);
    LONGS_EQUAL(2, before.size());
    std::erase_if(members, [&](const Member &member) {
        return member.vm == before[0];
    });
    const auto after = pollers(members, 1);
    LONGS_EQUAL(2, after.size());
    CHECK_TRUE(std::find(after.begin(), after.end(), before[1]) != after.end());
}
