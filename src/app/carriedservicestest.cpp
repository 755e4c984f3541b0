#include "carriedservices.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "../policy/configtestdata.h"

using namespace mulberryplank;
using namespace mulberryplank::testdata;
using namespace std::chrono_literals;

namespace
{

Member memberNamed(const std::string &vm, Incarnation incarnation)
{
    Member member;
    member.vm = VmName(vm);
    member.incarnation = incarnation;
    member.failureDomain = FailureDomain("klein-hall");
    member.ready = true;
    return member;
}

// What the hook was told last of a service, and how often.
struct Told {
    std::size_t assignedProxies = 0;
    bool mine = false;
    int times = 0;
};

} // namespace

// This process is `self`; with one carrier a service, either it or the other member carries each.
TEST_GROUP(CarriedServices)
{
    const Member m_self = memberNamed("self", 1);
    const Member m_other = memberNamed("other", 2);
    const ServiceName m_name { "pressdesk" };
    ConfigState m_config;
    ServiceRegistry m_registry;
    std::map<ServiceName, Told> m_told;
    PlacementSettings m_settings = oneCarrier();
    CarriedServices m_carried {
        m_registry,
        m_config,
        [this](const ServiceName &service, const std::vector<CarrierPeer> &assignedProxies, bool mine, Instant) {
            const int times = m_told[service].times + 1;
            m_told[service] = { assignedProxies.size(), mine, times };
        },
        m_self,
        m_settings,
        [](Event, std::initializer_list<EventField>) {}
    };
    Instant m_now {};
    int m_edits = 0;

    static PlacementSettings oneCarrier()
    {
        PlacementSettings settings;
        settings.minPerFailureDomain = 1;
        settings.lifetime = 10s;
        return settings;
    }

    void edit(std::vector<Change> changes)
    {
        const auto position = m_config.position();
        const std::string text = record("e" + std::to_string(++m_edits), std::move(changes));
        const auto outcomes = m_config.applyUpdate({ position.applied, position.last, { text } });
        CHECK_TRUE(outcomes.has_value() && outcomes->front().status == EditStatus::Accepted);
    }

    void update(const std::vector<Member> &members)
    {
        m_carried.update(std::make_shared<const std::vector<Member>>(members), m_config.applied(), m_now);
    }

    bool isServed(const ServiceName &name) const
    {
        return m_registry.find(name).has_value();
    }

    // With both members there the other one carries it.
    ServiceName nameThatMovesAway() const
    {
        for (int number = 0;; ++number) {
            const ServiceName name("s" + std::to_string(number));
            if (assignedProxies(name, { m_self, m_other }, m_settings).front().vm == m_other.vm) {
                return name;
            }
        }
    }
};

// Failure: requests fail for some seconds after every change of members.
TEST(CarriedServices, serviceThatMovesAwayIsServedUntilOldAnswersHaveRunOut)
{
    const ServiceName name = nameThatMovesAway();
    edit({ { service(name.value()), false } });
    update({ m_self });
    CHECK_TRUE(m_told[name].mine);
    update({ m_self, m_other });
    LONGS_EQUAL(0, m_carried.count());
    CHECK_FALSE(m_told[name].mine);
    LONGS_EQUAL(1, m_told[name].assignedProxies);
    m_now += 20s - 1ms;
    update({ m_self, m_other });
    CHECK_TRUE(isServed(name));
    m_now += 1ms;
    update({ m_self, m_other });
    CHECK_FALSE(isServed(name));
    LONGS_EQUAL(0, m_told[name].assignedProxies);
    LONGS_EQUAL(0, m_config.viewCount());
}

// Failure: a member flaps, and requests that wait here are refused.
TEST(CarriedServices, serviceThatComesBackInTimeIsNotInterrupted)
{
    const ServiceName name = nameThatMovesAway();
    edit({ { service(name.value()), false } });
    update({ m_self });
    const ServiceStatePtr before = m_registry.find(name)->state;
    update({ m_self, m_other });
    m_now += 15s;
    update({ m_self });
    m_now += 15s;
    update({ m_self });
    CHECK_TRUE(m_registry.find(name).has_value());
    CHECK_TRUE(m_registry.find(name)->state == before);
    CHECK_TRUE(m_told[name].mine);
}

TEST(CarriedServices, editReachesCarriedServicesAndNoOthers)
{
    const ServiceName away = nameThatMovesAway();
    std::string mine = "m0";
    for (int number = 1; assignedProxies(ServiceName(mine), { m_self, m_other }, m_settings).front().vm != m_self.vm;
         ++number) {
        mine = "m" + std::to_string(number);
    }
    edit({ { service(mine), false }, { service(away.value()), false } });
    update({ m_self, m_other });
    edit({ { target("t", mine), false }, { target("u", away.value()), false } });
    update({ m_self, m_other });
    LONGS_EQUAL(1, m_registry.find(ServiceName(mine))->config->targets.size());
    CHECK_FALSE(isServed(away));
    LONGS_EQUAL(0, m_told.count(away));
    LONGS_EQUAL(1, m_told[ServiceName(mine)].times);
    LONGS_EQUAL(1, m_config.viewCount());
    LONGS_EQUAL(2, m_carried.applied());
}

TEST(CarriedServices, removedServiceIsLetGoAtOnce)
{
    edit({ { service("pressdesk"), false } });
    update({ m_self });
    CHECK_TRUE(isServed(m_name));
    edit({ { service("pressdesk", 1), true } });
    update({ m_self });
    CHECK_FALSE(isServed(m_name));
    LONGS_EQUAL(0, m_told[m_name].assignedProxies);
}

// Failure: a proxy goes on with an old table for some services, or serves one that others carry.
TEST(CarriedServices, servesWhatPlacementGivesItAfterAnyEditsSnapshotsAndMembers)
{
    CHECK_TRUE(rc::check("served is placed here or being let go, with the newest configuration", [this] {
        ConfigState config;
        ServiceRegistry registry;
        CarriedServices carried(
            registry,
            config,
            [](const ServiceName &, const std::vector<CarrierPeer> &, bool, Instant) {},
            m_self,
            m_settings,
            [](Event, std::initializer_list<EventField>) {});
        const auto edits = generateLog();
        std::size_t next = 0;
        while (next < edits.size()) {
            const auto count = *rc::gen::inRange<std::size_t>(1, 6);
            ConfigState peer;
            const std::size_t end = std::min(edits.size(), next + count);
            const std::vector<std::string> records(edits.begin(), edits.begin() + static_cast<std::ptrdiff_t>(end));
            RC_ASSERT(peer.applyUpdate({ 0, {}, records }).has_value());
            if (*rc::gen::arbitrary<bool>()) {
                RC_ASSERT(config.applyUpdate({ 0, {}, records }).has_value());
            } else {
                peer.read([&config](const ConfigTable &table) {
                    RC_ASSERT(config.load(ConfigTable::fromSnapshot(table.snapshot()).value()).has_value());
                });
            }
            next = end;
            const std::vector<Member> members =
                *rc::gen::arbitrary<bool>() ? std::vector { m_self, m_other } : std::vector { m_self };
            carried.update(std::make_shared<const std::vector<Member>>(members), config.applied(), Instant {});
            std::size_t mine = 0;
            config.read([&](const ConfigTable &table) {
                for (const Service *item : table.services()) {
                    const ServiceSize size { table.targetsOf(item->name).size(), 0 };
                    const auto carrying = assignedProxies(item->name, members, m_settings, size);
                    const bool here = std::count(carrying.begin(), carrying.end(), m_self) > 0;
                    mine += here ? 1 : 0;
                    const auto served = registry.find(item->name);
                    RC_ASSERT(served || !here);
                    if (served) {
                        RC_ASSERT(served->config->service == *item);
                        RC_ASSERT(served->config->targets.size() == size.targets);
                        RC_ASSERT(served->config->rows.size() == table.rowsOf(item->name).size());
                    }
                }
                for (const ServedService &served : registry.all()) {
                    RC_ASSERT(table.service(served.config->service.name) != nullptr);
                }
            });
            RC_ASSERT(carried.count() == mine);
        }
    }));
}
