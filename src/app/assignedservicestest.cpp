#include "assignedservices.h"

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
struct HookCalls {
    std::size_t assignedProxies = 0;
    bool assignedHere = false;
    int times = 0;
};

} // namespace

// This process is `self`; with one carrier a service, either it or the other member carries each.
TEST_GROUP(AssignedServices)
{
    const Member m_self = memberNamed("self", 1);
    const Member m_other = memberNamed("other", 2);
    const ServiceName m_name { "pressdesk" };
    ConfigState m_config;
    ServiceRegistry m_registry;
    std::map<ServiceName, HookCalls> m_hookCalls;
    PlacementSettings m_settings = oneProxyPerService();
    AssignedServices m_assignedServices { m_registry,
                                          m_config,
                                          [this](const ServiceName &service,
                                                 const std::vector<AssignedPeer> &assignedProxies,
                                                 bool assignedHere,
                                                 Instant) {
                                              const int times = m_hookCalls[service].times + 1;
                                              m_hookCalls[service] = { assignedProxies.size(), assignedHere, times };
                                          },
                                          m_self,
                                          m_settings,
                                          [](Event, std::initializer_list<EventField>) {} };
    Instant m_now {};
    int m_edits = 0;

    static PlacementSettings oneProxyPerService()
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
        const auto outcomes = m_config.learn({ position.applied, position.last, { text } });
        CHECK_TRUE(outcomes.has_value() && outcomes->front().status == EditStatus::Accepted);
    }

    void update(const std::vector<Member> &members)
    {
        m_assignedServices.update(std::make_shared<const std::vector<Member>>(members), m_config.applied(), m_now);
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
TEST(AssignedServices, serviceThatMovesAwayIsServedUntilOldAnswersHaveRunOut)
{
    const ServiceName name = nameThatMovesAway();
    edit({ { service(name.value()), false } });
    update({ m_self });
    CHECK_TRUE(m_hookCalls[name].assignedHere);
    update({ m_self, m_other });
    LONGS_EQUAL(0, m_assignedServices.count());
    CHECK_FALSE(m_hookCalls[name].assignedHere);
    LONGS_EQUAL(1, m_hookCalls[name].assignedProxies);
    m_now += 20s - 1ms;
    update({ m_self, m_other });
    CHECK_TRUE(isServed(name));
    m_now += 1ms;
    update({ m_self, m_other });
    CHECK_FALSE(isServed(name));
    LONGS_EQUAL(0, m_hookCalls[name].assignedProxies);
    LONGS_EQUAL(0, m_config.viewCount());
}

// Failure: a member flaps, and requests that wait here are refused.
TEST(AssignedServices, serviceThatComesBackInTimeIsNotInterrupted)
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
    CHECK_TRUE(m_hookCalls[name].assignedHere);
}

TEST(AssignedServices, editReachesCarriedServicesAndNoOthers)
{
    const ServiceName elsewhere = nameThatMovesAway();
    std::string assignedHere = "m0";
    for (int number = 1;
         assignedProxies(ServiceName(assignedHere), { m_self, m_other }, m_settings).front().vm != m_self.vm;
         ++number) {
        assignedHere = "m" + std::to_string(number);
    }
    edit({ { service(assignedHere), false }, { service(elsewhere.value()), false } });
    update({ m_self, m_other });
    edit({ { target("t", assignedHere), false }, { target("u", elsewhere.value()), false } });
    update({ m_self, m_other });
    LONGS_EQUAL(1, m_registry.find(ServiceName(assignedHere))->config->targets.size());
    CHECK_FALSE(isServed(elsewhere));
    LONGS_EQUAL(0, m_hookCalls.count(elsewhere));
    LONGS_EQUAL(1, m_hookCalls[ServiceName(assignedHere)].times);
    LONGS_EQUAL(1, m_config.viewCount());
    LONGS_EQUAL(2, m_assignedServices.applied());
}

TEST(AssignedServices, removedServiceIsLetGoAtOnce)
{
    edit({ { service("pressdesk"), false } });
    update({ m_self });
    CHECK_TRUE(isServed(m_name));
    edit({ { service("pressdesk", 1), true } });
    update({ m_self });
    CHECK_FALSE(isServed(m_name));
    LONGS_EQUAL(0, m_hookCalls[m_name].assignedProxies);
}

// Failure: a proxy goes on with an old table for some services, or serves one that others carry.
TEST(AssignedServices, servesWhatPlacementGivesItAfterAnyEditsSnapshotsAndMembers)
{
    CHECK_TRUE(rc::check("served is placed here or being let go, with the newest configuration", [this] {
        ConfigState config;
        ServiceRegistry registry;
        AssignedServices assignedServices(
            registry,
            config,
            [](const ServiceName &, const std::vector<AssignedPeer> &, bool, Instant) {},
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
            RC_ASSERT(peer.learn({ 0, {}, records }).has_value());
            if (*rc::gen::arbitrary<bool>()) {
                RC_ASSERT(config.learn({ 0, {}, records }).has_value());
            } else {
                peer.read([&config](const ConfigTable &table) {
                    RC_ASSERT(config.load(ConfigTable::fromSnapshot(table.snapshot()).value()).has_value());
                });
            }
            next = end;
            const std::vector<Member> members =
                *rc::gen::arbitrary<bool>() ? std::vector { m_self, m_other } : std::vector { m_self };
            assignedServices.update(std::make_shared<const std::vector<Member>>(members), config.applied(), Instant {});
            std::size_t assignedHere = 0;
            config.read([&](const ConfigTable &table) {
                for (const Service *item : table.services()) {
                    const ServiceSize size { table.targetsOf(item->name).size(), 0 };
                    const auto assigned = assignedProxies(item->name, members, m_settings, size);
                    const bool here = std::count(assigned.begin(), assigned.end(), m_self) > 0;
                    assignedHere += here ? 1 : 0;
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
            RC_ASSERT(assignedServices.count() == assignedHere);
        }
    }));
}
