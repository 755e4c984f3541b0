#include "mulberryplank/policy/floor.h"

#include <algorithm>
#include <memory>
#include <random>

#include <rapidcheck.h>

// Last: it makes `new` a macro, which other headers don't bear.
#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Duration Step = Millis { 50 };

// A few proxies that claim targets, and a network between them that loses, delays, repeats and cuts one way.
class Fleet
{
public:
    Fleet(std::uint32_t seed, std::size_t proxies, std::size_t targets, std::size_t floor)
        : m_random(seed)
        , m_floor(floor)
    {
        for (std::size_t index = 0; index < proxies; ++index) {
            m_proxies.push_back({ m_nextKey++, nullptr, false });
        }
        for (TargetId target = 1; target <= targets; ++target) {
            m_targets.push_back(target);
        }
        for (Proxy &proxy : m_proxies) {
            proxy.claims = std::make_unique<EjectionClaims>(proxy.key, EjectionClaimsSettings {});
        }
        shareViews();
    }

    void step(bool withFaults)
    {
        m_now += Step;
        for (std::size_t index = 0; index < m_proxies.size(); ++index) {
            if (withFaults) {
                injectFaults(index);
            }
            if (!m_proxies[index].paused) {
                act(index, withFaults);
            }
        }
        deliver();
        for (Proxy &proxy : m_proxies) {
            if (!proxy.paused) {
                proxy.claims->tick(m_targets, m_floor, m_faultSeverity, m_now);
            }
        }
    }

    void recover()
    {
        m_cuts.clear();
        for (Proxy &proxy : m_proxies) {
            proxy.paused = false;
        }
        shareViews();
    }

    // Returns how many targets no running proxy has ejected and none calls unavailable.
    std::size_t inService() const
    {
        return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [&](TargetId target) {
            return m_unavailable.count(target) == 0 && !isEjected(target);
        }));
    }

    std::size_t ejected() const
    {
        return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [&](TargetId target) {
            return isEjected(target);
        }));
    }

    void claimEverywhere(TargetId target)
    {
        for (Proxy &proxy : m_proxies) {
            proxy.claims->claim(target, m_now);
        }
    }

    void setUnavailable(const std::set<TargetId> &targets)
    {
        m_unavailable = targets;
        m_proxies.front().claims->setUnavailable({ targets.begin(), targets.end() });
    }

    void releaseAll()
    {
        for (const TargetId target : m_targets) {
            for (Proxy &proxy : m_proxies) {
                proxy.claims->release(target);
            }
        }
    }

private:
    struct Proxy {
        PeerKey key = 0;
        std::unique_ptr<EjectionClaims> claims;
        bool paused = false;
    };

    struct Message {
        PeerKey to = 0;
        PeerKey from = 0;
        Instant at {};
        EvidenceReport report;
    };

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    bool isEjected(TargetId target) const
    {
        return std::any_of(m_proxies.begin(), m_proxies.end(), [target](const Proxy &proxy) {
            return !proxy.paused && proxy.claims->isInEffect(target);
        });
    }

    void injectFaults(std::size_t index)
    {
        Proxy &proxy = m_proxies[index];
        if (chance(0.01)) {
            const auto link = std::make_pair(index, pick(m_proxies.size()));
            if (!m_cuts.erase(link)) {
                m_cuts.insert(link);
            }
        }
        if (chance(proxy.paused ? 0.02 : 0.005)) {
            proxy.paused = !proxy.paused;
        }
        if (chance(0.001)) {
            // A restart: a new incarnation that knows nothing, and that the others get to know later.
            proxy = { m_nextKey++, nullptr, false };
            proxy.claims = std::make_unique<EjectionClaims>(proxy.key, EjectionClaimsSettings {});
            proxy.claims->setPeers(keys(), m_now);
        }
        if (chance(0.002)) {
            proxy.claims->setPeers(keys(), m_now);
        }
    }

    void act(std::size_t index, bool withFaults)
    {
        Proxy &proxy = m_proxies[index];
        const TargetId target = m_targets[pick(m_targets.size())];
        if (withFaults && chance(0.1)) {
            proxy.claims->claim(target, m_now);
        }
        if (withFaults && chance(0.03)) {
            proxy.claims->release(target);
        }
        if (!chance(0.3)) {
            return;
        }
        EvidenceReport report;
        proxy.claims->fill(report, m_now);
        for (std::size_t to = 0; to < m_proxies.size(); ++to) {
            const bool lost = (withFaults && chance(0.1)) || m_cuts.count({ index, to }) != 0;
            if (to != index && !lost) {
                const Duration delay = Millis { withFaults && chance(0.05) ? pick(8'000) : pick(100) };
                m_messages.push_back({ m_proxies[to].key, proxy.key, m_now + delay, report });
            }
        }
    }

    void deliver()
    {
        std::vector<Message> later;
        for (Message &message : m_messages) {
            const auto to = std::find_if(m_proxies.begin(), m_proxies.end(), [&](const Proxy &proxy) {
                return proxy.key == message.to;
            });
            if (to == m_proxies.end()) {
                continue;
            }
            // What reaches a paused process waits in its socket.
            if (message.at > m_now || to->paused) {
                later.push_back(std::move(message));
            } else {
                to->claims->receive(message.from, message.report, m_now);
            }
        }
        m_messages = std::move(later);
    }

    std::vector<PeerKey> keys() const
    {
        std::vector<PeerKey> result;
        for (const Proxy &proxy : m_proxies) {
            result.push_back(proxy.key);
        }
        return result;
    }

    void shareViews()
    {
        for (Proxy &proxy : m_proxies) {
            proxy.claims->setPeers(keys(), m_now);
        }
    }

    std::mt19937 m_random;
    std::size_t m_floor;
    PeerKey m_nextKey = 1;
    std::vector<Proxy> m_proxies;
    std::vector<TargetId> m_targets;
    std::set<TargetId> m_unavailable;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts; // from, to
    std::vector<Message> m_messages;
    Instant m_now {};
    EjectionClaims::FaultSeverity m_faultSeverity = [](TargetId target) {
        return static_cast<double>(target % 5);
    };
};

constexpr std::size_t StepsToSettle = 400;

} // namespace

TEST_GROUP(Floor) {};

// Failure: a service with a floor of half its targets has fewer in service, though each proxy kept to the floor.
TEST(Floor, holdsOverAllProxiesUnderNetworkFaults)
{
    CHECK_TRUE(rc::check("floor holds", [](std::uint32_t seed) {
        const std::size_t proxies = 2 + seed % 5;
        const std::size_t targets = 3 + seed / 7 % 7;
        const std::size_t floor = floorOf(targets, 0.5, 1);
        Fleet fleet(seed, proxies, targets, floor);
        for (int step = 0; step < 1'200; ++step) {
            fleet.step(true);
            RC_ASSERT(fleet.inService() >= floor);
        }
    }));
}

// Failure: after a network fault has healed, no proxy ejects anything any more.
TEST(Floor, ejectsUpToTheFloorAfterTheNetworkHasRecovered)
{
    CHECK_TRUE(rc::check("liveness", [](std::uint32_t seed) {
        const std::size_t targets = 4 + seed % 6;
        const std::size_t floor = floorOf(targets, 0.5, 1);
        Fleet fleet(seed, 2 + seed % 5, targets, floor);
        for (int step = 0; step < 300; ++step) {
            fleet.step(true);
        }
        fleet.recover();
        fleet.releaseAll();
        for (std::size_t step = 0; step < StepsToSettle; ++step) {
            fleet.step(false);
        }
        for (TargetId target = 1; target <= targets; ++target) {
            fleet.claimEverywhere(target);
        }
        for (std::size_t step = 0; step < StepsToSettle; ++step) {
            fleet.step(false);
        }
        RC_ASSERT(fleet.ejected() == targets - floor);
    }));
}

TEST(Floor, withdrawsEjectionsWhenTargetsBecomeUnavailable)
{
    Fleet fleet(7, 4, 8, 4);
    for (const TargetId target : { 1, 2, 3, 4 }) {
        fleet.claimEverywhere(target);
    }
    for (std::size_t step = 0; step < StepsToSettle; ++step) {
        fleet.step(false);
    }
    LONGS_EQUAL(4, fleet.ejected());
    fleet.setUnavailable({ 6, 7, 8 });
    constexpr std::size_t TwoSeconds = 40;
    for (std::size_t step = 0; step < TwoSeconds; ++step) {
        fleet.step(false);
    }
    // Target 4 is the worst of the four by Fleet's measure.
    LONGS_EQUAL(1, fleet.ejected());
    LONGS_EQUAL(4, fleet.inService());
}

TEST(Floor, roundsUpAndKeepsTheCount)
{
    LONGS_EQUAL(6, floorOf(11, 0.5, 1));
    LONGS_EQUAL(3, floorOf(4, 0.5, 3));
    LONGS_EQUAL(2, floorOf(2, 0.1, 5));
}
