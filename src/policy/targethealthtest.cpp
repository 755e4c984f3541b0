#include "mulberryplank/policy/targethealth.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <random>

#include <rapidcheck.h>

// Last: it makes `new` a macro, which other headers don't bear.
#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Duration Tick = Millis { 100 };

// Several proxies before the same targets, with steady traffic from each to each, on a clock of their own.
class ProxyFleet
{
public:
    // What happens to one request; the latency of a healthy one is passed in.
    using Behaviour = std::function<Attempt(std::size_t proxy, Attempt healthy)>;

    ProxyFleet(std::uint32_t seed, std::size_t proxies, std::size_t targets, Detection detection = Detection::Fast)
        : m_random(seed)
        , m_targets(targets)
    {
        for (std::size_t index = 0; index < proxies; ++index) {
            m_ids.push_back({ VmName { "vm" + std::to_string(index) }, index + 1 });
        }
        for (const PeerId &id : m_ids) {
            m_proxies.push_back(std::make_unique<ServiceHealth>(ServiceHealthSettings { id, detection, 0.5, 1, 4 },
                                                                seed + id.incarnation));
            for (std::size_t target = 0; target < targets; ++target) {
                m_proxies.back()->addTarget(TargetName { "t" + std::to_string(target) }, FailureDomain {}, m_now);
            }
            m_proxies.back()->setPeers(m_ids, m_now);
        }
    }

    void run(Duration length)
    {
        for (Duration done {}; done < length; done += Tick) {
            m_now += Tick;
            for (std::size_t index = 0; index < m_proxies.size(); ++index) {
                sendRequests(index);
                m_proxies[index]->tick(m_now);
            }
            exchange();
            afterTick();
        }
    }

    ServiceHealth &proxy(std::size_t index)
    {
        return *m_proxies[index];
    }

    bool isEjected(std::size_t proxy, TargetIndex target) const
    {
        return m_proxies[proxy]->weight(target) == 0;
    }

    std::size_t ejectedSomewhere() const
    {
        std::size_t result = 0;
        for (TargetIndex target = 0; target < m_targets; ++target) {
            result += std::any_of(m_proxies.begin(),
                                  m_proxies.end(),
                                  [target](const auto &proxy) {
                                      return proxy->weight(target) == 0;
                                  })
                          ? 1
                          : 0;
        }
        return result;
    }

    std::size_t countEvents(Event event)
    {
        std::size_t result = 0;
        for (const auto &proxy : m_proxies) {
            for (const HealthEvent &seen : proxy->takeEvents()) {
                result += seen.event == event ? 1 : 0;
            }
        }
        return result;
    }

    Behaviour behaviour = [](std::size_t, Attempt healthy) {
        return healthy;
    };
    std::function<void(std::size_t proxy, EvidenceReport &report)> falsify = [](std::size_t, EvidenceReport &) {};
    std::function<bool(std::size_t from, std::size_t to)> isCut = [](std::size_t, std::size_t) {
        return false;
    };
    std::function<void()> afterTick = [] {};

private:
    void sendRequests(std::size_t proxy)
    {
        constexpr double RequestsPerTick = 0.5;
        for (TargetIndex target = 0; target < m_targets; ++target) {
            const double weight = m_proxies[proxy]->weight(target);
            const bool trial = m_proxies[proxy]->phase(target) == TargetPhase::Trial;
            if (m_uniform(m_random) < (trial ? 1 : weight) * RequestsPerTick) {
                const double seconds = 0.03 * std::exp(0.8 * m_normal(m_random));
                const Attempt healthy { target, 0, AttemptResult::Success, fromSeconds(seconds) };
                m_proxies[proxy]->observe(behaviour(proxy, healthy), m_now);
            }
        }
    }

    void exchange()
    {
        for (std::size_t from = 0; from < m_proxies.size(); ++from) {
            EvidenceReport report = m_proxies[from]->report(m_now);
            falsify(from, report);
            for (std::size_t to = 0; to < m_proxies.size(); ++to) {
                if (to != from && !isCut(from, to)) {
                    m_proxies[to]->merge(m_ids[from], report, m_now);
                }
            }
        }
    }

    std::mt19937 m_random;
    std::uniform_real_distribution<double> m_uniform { 0, 1 };
    std::normal_distribution<double> m_normal;
    std::size_t m_targets;
    std::vector<PeerId> m_ids;
    std::vector<std::unique_ptr<ServiceHealth>> m_proxies;
    Instant m_now = Instant {} + Seconds { 1 };
};

ProxyFleet::Behaviour slowTargets(TargetIndex count, int factor)
{
    return [count, factor](std::size_t, Attempt attempt) {
        attempt.latency *= attempt.target < count ? factor : 1;
        return attempt;
    };
}

} // namespace

TEST_GROUP(TargetHealth) {};

TEST(TargetHealth, ejectsASlowTargetAtEveryProxyUntilItRecovers)
{
    ProxyFleet fleet(1, 4, 8);
    fleet.run(Seconds { 20 });
    LONGS_EQUAL(0, fleet.ejectedSomewhere());
    fleet.behaviour = slowTargets(1, 10);
    fleet.run(Seconds { 4 });
    for (std::size_t proxy = 0; proxy < 4; ++proxy) {
        CHECK_TRUE(fleet.isEjected(proxy, 0));
    }
    LONGS_EQUAL(1, fleet.ejectedSomewhere());
    fleet.behaviour = slowTargets(0, 1);
    fleet.run(Seconds { 60 });
    for (std::size_t proxy = 0; proxy < 4; ++proxy) {
        DOUBLES_EQUAL(1, fleet.proxy(proxy).weight(0), 0);
    }
}

// Failure: a proxy drops out of everybody's favour a target that serves well.
TEST(TargetHealth, falseReportsOfOneProxyEjectNothingAtTheOthers)
{
    CHECK_TRUE(rc::check("liar", [](std::uint32_t seed) {
        ProxyFleet fleet(seed, 3 + seed % 4, 6);
        fleet.falsify = [](std::size_t proxy, EvidenceReport &report) {
            if (proxy == 0) {
                report.evidence = { { targetId(TargetName { "t1" }), 1e30F, 65'535 } };
                report.claimed = { targetId(TargetName { "t1" }) };
            }
        };
        fleet.run(Seconds { 60 });
        for (std::size_t proxy = 1; proxy < 3; ++proxy) {
            RC_ASSERT(!fleet.isEjected(proxy, 1));
        }
    }));
}

TEST(TargetHealth, pathFaultOfOneProxyAffectsOnlyItsTraffic)
{
    ProxyFleet fleet(3, 4, 8);
    fleet.run(Seconds { 20 });
    fleet.behaviour = [](std::size_t proxy, Attempt attempt) {
        if (proxy == 2 && attempt.target == 5) {
            attempt.result = AttemptResult::ConnectFailed;
        }
        return attempt;
    };
    fleet.run(Seconds { 8 });
    CHECK_TRUE(fleet.isEjected(2, 5));
    for (const std::size_t proxy : { 0, 1, 3 }) {
        CHECK_FALSE(fleet.isEjected(proxy, 5));
    }
    LONGS_EQUAL(1, fleet.countEvents(Event::PathSuspected));
}

// Failure: in a rush hour a service loses its targets one after the other.
TEST(TargetHealth, ejectsNothingWhenAllTargetsSlowDownTogether)
{
    CHECK_TRUE(rc::check("all slow", [](std::uint32_t seed) {
        ProxyFleet fleet(seed, 3, 8, static_cast<Detection>(seed % 3));
        fleet.run(Seconds { 20 });
        fleet.behaviour = slowTargets(8, 5);
        fleet.run(Seconds { 30 });
        RC_ASSERT(fleet.ejectedSomewhere() == 0U);
    }));
}

TEST(TargetHealth, detectsAHangBeforeAnyTimeout)
{
    ProxyFleet fleet(5, 3, 6);
    fleet.run(Seconds { 20 });
    fleet.behaviour = [](std::size_t, Attempt attempt) {
        attempt.result = attempt.target == 0 ? AttemptResult::Shed : attempt.result;
        return attempt;
    };
    Instant now = Instant {} + Seconds { 21 };
    Duration age {};
    fleet.afterTick = [&] {
        now += Tick;
        age += Tick;
        for (std::size_t proxy = 0; proxy < 3; ++proxy) {
            fleet.proxy(proxy).observeOutstanding(0, age, now, 2);
        }
    };
    fleet.run(Seconds { 3 });
    CHECK_TRUE(fleet.isEjected(0, 0));
}

// Failure: callers are refused although targets would serve them, in a fault of many targets at once.
TEST(TargetHealth, keepsTheFloorWhenMostTargetsAreFaulty)
{
    CHECK_TRUE(rc::check("floor", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        const std::size_t proxies = 2 + seed % 4;
        ProxyFleet fleet(seed, proxies, 7);
        fleet.run(Seconds { 10 });
        fleet.behaviour = slowTargets(static_cast<TargetIndex>(3 + seed % 4), 8);
        const std::size_t cutFrom = random() % proxies;
        const std::size_t cutTo = random() % proxies;
        fleet.isCut = [&](std::size_t from, std::size_t to) {
            return (from == cutFrom && to == cutTo) || random() % 5 == 0;
        };
        fleet.afterTick = [&] {
            RC_ASSERT(fleet.ejectedSomewhere() <= 3U);
            for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
                for (TargetIndex target = 0; target < 7; ++target) {
                    const double weight = fleet.proxy(proxy).weight(target);
                    RC_ASSERT(weight >= 0 && weight <= 1);
                }
            }
        };
        fleet.run(Seconds { 40 });
    }));
}

// The worst of 400 random faults (bench-health --search 400) that is found at all: 5.4 times slower for 1.4 s in every
// 2.8 s.
// Failure: a target hurts requests for minutes though it is found again and again.
TEST(TargetHealth, aFlappingTargetHarmsFewerRequestsOverTime)
{
    int harmedEarly = 0;
    int harmedLate = 0;
    for (std::uint32_t seed = 1; seed <= 6; ++seed) {
        ProxyFleet fleet(seed, 4, 8);
        fleet.run(Seconds { 20 });
        int ticks = 0;
        fleet.afterTick = [&ticks] {
            ++ticks;
        };
        int harmed = 0;
        fleet.behaviour = [&](std::size_t, Attempt attempt) {
            if (attempt.target == 0 && ticks % 28 < 14) {
                attempt.latency = fromSeconds(toSeconds(attempt.latency) * 5.4);
                ++harmed;
            }
            return attempt;
        };
        fleet.run(Seconds { 60 });
        harmedEarly += harmed;
        fleet.run(Seconds { 60 });
        harmed = 0;
        fleet.run(Seconds { 60 });
        harmedLate += harmed;
    }
    // 250 and 68 here; 483 and 463 with ejections that don't grow.
    CHECK_TRUE(harmedEarly < 350);
    CHECK_TRUE(2 * harmedLate < harmedEarly);
}

TEST(TargetHealth, reportsWhenTheFloorKeepsAFaultyTarget)
{
    ProxyFleet fleet(8, 3, 6);
    fleet.run(Seconds { 20 });
    fleet.behaviour = slowTargets(4, 20);
    fleet.run(Seconds { 20 });
    LONGS_EQUAL(3, fleet.ejectedSomewhere());
    CHECK_TRUE(fleet.countEvents(Event::FloorBinds) > 0);
}

TEST(TargetHealth, ignoresReportsOfAnOldIncarnationAndMalformedOnes)
{
    ServiceHealth health({ { VmName { "a" }, 1 }, Detection::Fast, 0.5, 1, 4 }, 1);
    const Instant now = Instant {} + Seconds { 1 };
    const TargetIndex target = health.addTarget(TargetName { "t" }, FailureDomain {}, now);
    health.addTarget(TargetName { "u" }, FailureDomain {}, now);
    health.setPeers({ { VmName { "b" }, 2 } }, now);
    EvidenceReport report;
    report.sequence = 1;
    report.evidence = { { targetId(TargetName { "t" }), 50, 9 } };
    health.merge({ VmName { "b" }, 1 }, report, now);
    health.tick(now);
    DOUBLES_EQUAL(0, health.views()[target].jointSuspicion, 0);
    report.claimed.resize(MaxReportEntries + 1);
    health.merge({ VmName { "b" }, 2 }, report, now);
    health.tick(now);
    DOUBLES_EQUAL(0, health.views()[target].jointSuspicion, 0);
}
