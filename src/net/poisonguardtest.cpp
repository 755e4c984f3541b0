#include "mulberryplank/net/poisonguard.h"

#include <queue>
#include <random>

#include <CppUTest/TestHarness.h>

#include "fakekeyedstore.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/fleetregistry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace mulberryplank;

namespace
{

constexpr RequestFingerprint Deadly { 1 };
constexpr Duration Latency = Millis(2); // of a message between processes
constexpr Duration TickInterval = Millis(500);

// Processes that send each other messages, some of which are lost, on virtual time.
class GuardedFleet
{
public:
    GuardedFleet(std::size_t size, std::size_t ingress, double loss, std::uint64_t seed)
        : m_store(m_context)
        , m_ingress(ingress)
        , m_loss(loss)
        , m_random(seed)
    {
        for (std::size_t index = 0; index < size; ++index) {
            m_guards.push_back(makeGuard(index));
        }
    }

    // Plays a request that crashes each target that runs it. It returns every 100 ms to a random ingress proxy, which
    // sends it to one target. Innocent requests are in flight beside it. Returns the crashes until `end`.
    int play(Duration end, bool anywhere = false)
    {
        int crashes = 0;
        const Instant stop = Clock::now() + end;
        while (Clock::now() < stop) {
            const std::size_t process = m_random() % (anywhere ? m_guards.size() : m_ingress);
            if (!m_guards[process]->quarantineLeft(Deadly)) {
                ++crashes;
                crash(process);
            }
            advance(Millis(100));
        }
        return crashes;
    }

    // Reports a crash at all ingress proxies with requests there. The deadly one was in flight at `process`.
    void crash(std::size_t process)
    {
        const TargetKey target = ++m_targets;
        for (std::size_t index = 0; index < m_guards.size(); ++index) {
            CrashReport report { target, Millis(25), {} };
            if (index == process) {
                report.suspects.push_back({ Deadly, Millis(40) });
            }
            if (index == process || index < m_ingress) {
                report.suspects.push_back({ RequestFingerprint { 1'000 + m_random() % 1'000'000 }, Millis(200) });
                m_guards[index]->recordCrash(report);
            }
        }
    }

    void advance(Duration span)
    {
        const Instant end = Clock::now() + span;
        while (Clock::now() < end) {
            m_time.advance(Millis(1));
            deliver();
            if (Clock::now() >= m_nextTick) {
                m_nextTick = Clock::now() + TickInterval;
                for (const auto &guard : m_guards) {
                    guard->tick();
                }
            }
            m_context.restart();
            m_context.poll();
        }
    }

    // Ends all processes and starts them anew with what the store holds.
    void restartAll()
    {
        m_messages = {};
        for (std::size_t index = 0; index < m_guards.size(); ++index) {
            m_guards[index] = makeGuard(index);
        }
        boost::asio::co_spawn(
            m_context,
            [this]() -> boost::asio::awaitable<void> {
                const KeyedStore store = m_store.access();
                const Result<FleetBootstrap> read = co_await readFleet(store);
                for (const auto &guard : m_guards) {
                    guard->load(read->quarantined);
                }
            },
            boost::asio::detached);
        advance(Millis(10));
    }

    std::size_t knowing() const
    {
        std::size_t count = 0;
        for (const auto &guard : m_guards) {
            count += guard->quarantineLeft(Deadly) ? 1 : 0;
        }
        return count;
    }

    std::size_t quarantinedAt(std::size_t index) const
    {
        return m_guards[index]->quarantined().size();
    }

    std::uint64_t messages() const
    {
        return m_sent;
    }

    FakeKeyedStore &store()
    {
        return m_store;
    }

private:
    struct Message {
        Instant due {};
        std::size_t to = 0;
        std::function<void(PoisonGuard &)> apply;
    };

    std::unique_ptr<PoisonGuard> makeGuard(std::size_t index)
    {
        PoisonGuardHooks hooks;
        hooks.sendCrashes = [this, index](const CrashMessage &message) {
            sendToIngress(index, [message](PoisonGuard &guard) {
                guard.merge(message);
            });
        };
        hooks.sendQuarantinedToIngress = [this, index](const std::vector<QuarantinedRequest> &requests) {
            sendToIngress(index, [requests](PoisonGuard &guard) {
                guard.mergeQuarantined(requests);
            });
        };
        hooks.sendQuarantinedToRandom = [this](const std::vector<QuarantinedRequest> &requests, std::size_t count) {
            for (std::size_t number = 0; number < count; ++number) {
                send(m_random() % m_guards.size(), [requests](PoisonGuard &guard) {
                    guard.mergeQuarantined(requests);
                });
            }
        };
        hooks.sendQuarantinedToNext = [this, index](const std::vector<QuarantinedRequest> &requests) {
            send((index + 1) % m_guards.size(), [requests](PoisonGuard &guard) {
                guard.mergeQuarantined(requests);
            });
        };
        hooks.writesStore = [index] {
            return index == 0;
        };
        return std::make_unique<PoisonGuard>(m_context,
                                             m_store.access(),
                                             PoisonGuardSettings {},
                                             std::move(hooks),
                                             [](Event, std::initializer_list<EventField>) {});
    }

    void sendToIngress(std::size_t from, const std::function<void(PoisonGuard &)> &apply)
    {
        for (std::size_t to = 0; to < m_ingress; ++to) {
            if (to != from) {
                send(to, apply);
            }
        }
    }

    void send(std::size_t to, const std::function<void(PoisonGuard &)> &apply)
    {
        ++m_sent;
        if (std::uniform_real_distribution<double>(0, 1)(m_random) >= m_loss) {
            m_messages.push_back({ Clock::now() + Latency, to, apply });
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.front().due <= Clock::now()) {
            const Message message = std::move(m_messages.front());
            m_messages.pop_front();
            message.apply(*m_guards[message.to]);
        }
    }

    VirtualTime m_time { Instant(Seconds(1'000)) };
    boost::asio::io_context m_context;
    FakeKeyedStore m_store;
    const std::size_t m_ingress;
    const double m_loss;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<PoisonGuard>> m_guards;
    std::deque<Message> m_messages;
    std::uint64_t m_sent = 0;
    TargetKey m_targets = 0;
    Instant m_nextTick {};
};

} // namespace

TEST_GROUP(PoisonGuard) {};

// Guards against a request that each gateway of a fleet sends to targets because it doesn't know the others' crashes.
TEST(PoisonGuard, RequestThatCrashesTargetsIsRefusedByTheWholeFleet)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const double loss : { 0.0, 0.03, 0.3 }) {
            GuardedFleet fleet(32, 3, loss, seed);
            fleet.play(Seconds(3));
            LONGS_EQUAL(0, fleet.play(Seconds(5)));
        }
    }
}

TEST(PoisonGuard, FleetWithoutLossesBlamesAtTheThirdCrash)
{
    GuardedFleet fleet(32, 3, 0, 1);
    LONGS_EQUAL(3, fleet.play(Seconds(3)));
    LONGS_EQUAL(1, fleet.quarantinedAt(0));
}

TEST(PoisonGuard, ProcessesThatSendFewRequestsLearnOfQuarantinedOnes)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        GuardedFleet fleet(500, 9, 0.03, seed);
        fleet.play(Seconds(1));
        fleet.advance(Seconds(3));
        LONGS_EQUAL(500, fleet.knowing());
    }
}

// Guards against messages whose number grows faster than the fleet.
TEST(PoisonGuard, QuarantineCostsEachProcessAFewMessages)
{
    GuardedFleet fleet(500, 9, 0, 1);
    fleet.play(Seconds(5));
    CHECK_TRUE(fleet.messages() < std::uint64_t { 500 } * 12);
}

// Guards against messages for each target when a rack of targets fails.
TEST(PoisonGuard, CrashesOfManyTargetsCostFewMessages)
{
    constexpr std::size_t Ingress = 3;
    constexpr std::uint64_t ReportsPerSecond = 10;
    GuardedFleet fleet(32, Ingress, 0, 1);
    for (int target = 0; target < 1'000; ++target) {
        fleet.crash(0);
    }
    CHECK_TRUE(fleet.messages() <= ReportsPerSecond * Ingress * (Ingress - 1));
}

// Guards against crashing three more targets after the loss of all processes.
TEST(PoisonGuard, QuarantineOutlivesTheLossOfAllProcesses)
{
    GuardedFleet fleet(32, 3, 0, 1);
    fleet.play(Seconds(1));
    fleet.restartAll();
    LONGS_EQUAL(32, fleet.knowing());
    LONGS_EQUAL(0, fleet.play(Seconds(2), true));
}

TEST(PoisonGuard, FailedWriteToTheStoreIsRepeated)
{
    GuardedFleet fleet(3, 3, 0, 1);
    fleet.store().failuresLeft = 2;
    fleet.play(Seconds(5));
    fleet.restartAll();
    LONGS_EQUAL(3, fleet.knowing());
}

TEST(PoisonGuard, ExpiredRequestIsReleasedAndRemovedFromTheStore)
{
    GuardedFleet fleet(3, 3, 0, 1);
    fleet.play(Seconds(1));
    fleet.advance(Seconds(601));
    LONGS_EQUAL(0, fleet.knowing());
    fleet.restartAll();
    LONGS_EQUAL(0, fleet.knowing());
}
