#include "assignedservices.h"

#include <algorithm>
#include <mutex>
#include <set>

namespace mulberryplank
{

namespace internal
{

// A service that has moved away is served for as long as callers may still come on the strength of an old answer.
constexpr int ReleaseAfterLifetimes = 2;

std::vector<AssignedPeer> assignedPeers(const std::vector<Member> &members)
{
    std::vector<AssignedPeer> peers;
    for (const Member &member : members) {
        peers.push_back(AssignedPeer { PeerId { member.vm, member.incarnation }, member.peer });
    }
    std::sort(peers.begin(), peers.end());
    return peers;
}

} // namespace internal

AssignedServices::AssignedServices(ServiceRegistry &services,
                                   ConfigState &config,
                                   AssignmentHook onAssignment,
                                   Member self,
                                   PlacementSettings settings,
                                   EventSink events)
    : m_services(services)
    , m_config(config)
    , m_onAssignment(std::move(onAssignment))
    , m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_events(std::move(events))
    , m_index(m_settings)
{
}

Offset AssignedServices::applied() const
{
    return m_applied.value_or(0);
}

std::size_t AssignedServices::count() const
{
    return static_cast<std::size_t>(std::count_if(m_served.begin(), m_served.end(), [](const auto &entry) {
        return entry.second.assignedHere;
    }));
}

AssignedServices::Members AssignedServices::assignedProxiesOf(const ServiceName &name) const
{
    const std::shared_lock lock(m_indexMutex);
    return m_index.assignedProxiesOf(name);
}

void AssignedServices::update(const std::shared_ptr<const Members> &members, Offset applied, Instant now)
{
    if (members != m_members) {
        updateMembers(*members, now);
        m_members = members;
    }
    if (m_applied != applied) {
        updateConfiguration(applied, now);
    }
    releaseExpired(now);
}

void AssignedServices::updateMembers(const Members &members, Instant now)
{
    std::vector<ServiceName> changed;
    {
        const std::unique_lock lock(m_indexMutex);
        changed = m_index.setMembers(members);
    }
    for (const ServiceName &name : changed) {
        setAssignedProxies(name, now);
    }
}

void AssignedServices::updateConfiguration(Offset applied, Instant now)
{
    const auto touched = m_applied ? m_config.touchedSince(*m_applied) : std::nullopt;
    for (const ServiceName &name : touched ? *touched : allServices()) {
        updateService(name, now);
    }
    m_applied = applied;
}

// Returns the services that are configured and those that were.
std::vector<ServiceName> AssignedServices::allServices() const
{
    const std::vector<ServiceName> known = m_index.services();
    std::set<ServiceName> names(known.begin(), known.end());
    m_config.read([&names](const ConfigTable &table) {
        for (const Service *service : table.services()) {
            names.insert(service->name);
        }
    });
    return { names.begin(), names.end() };
}

// Takes over a service that may have changed: its size decides who carries it, the rest matters only where it is
// served.
void AssignedServices::updateService(const ServiceName &name, Instant now)
{
    std::optional<ServiceSize> size;
    m_config.read([&](const ConfigTable &table) {
        if (table.service(name)) {
            size = ServiceSize { table.targetsOf(name).size(), 0 };
        }
    });
    bool moved = false;
    {
        const std::unique_lock lock(m_indexMutex);
        if (size) {
            moved = m_index.setService(name, *size);
        } else {
            m_index.removeService(name);
        }
    }
    if (!size) {
        stopServing(name, now);
        return;
    }
    if (m_served.contains(name)) {
        startServing(name, now);
    }
    if (moved) {
        setAssignedProxies(name, now);
    }
}

void AssignedServices::setAssignedProxies(const ServiceName &name, Instant now)
{
    std::vector<AssignedPeer> assigned = internal::assignedPeers(m_index.assignedProxiesOf(name));
    const PeerId self { m_self.vm, m_self.incarnation };
    const bool assignedHere = std::any_of(assigned.begin(), assigned.end(), [&self](const AssignedPeer &peer) {
        return peer.id == self;
    });
    const bool isServed = m_served.contains(name);
    if ((!assignedHere && !isServed) || (assignedHere && !isServed && !startServing(name, now))) {
        return;
    }
    Served &served = m_served[name];
    if (assignedHere) {
        served.releaseAt.reset();
    } else if (served.assignedHere) {
        served.releaseAt = now + internal::ReleaseAfterLifetimes * m_settings.lifetime;
    }
    if (served.assignedHere == assignedHere && served.proxies == assigned) {
        return;
    }
    served.assignedHere = assignedHere;
    served.proxies = std::move(assigned);
    m_events(
        Event::PlacementChanged,
        { { "service", name.value() }, { "carried", assignedHere ? 1 : 0 }, { "members", served.proxies.size() } });
    m_onAssignment(name, served.proxies, assignedHere, now);
}

// Gives the service's configuration to its state, which is made if there is none. Returns false if the service has been
// removed meanwhile: the next update() will tell.
bool AssignedServices::startServing(const ServiceName &name, Instant now)
{
    const ServiceViewPtr view = m_config.service(name);
    if (!view) {
        return false;
    }
    std::optional<ServedService> served = m_services.find(name);
    if (!served) {
        const std::uint64_t seed = m_self.incarnation ^ std::hash<ServiceName> {}(name);
        const PeerId self { m_self.vm, m_self.incarnation };
        served = ServedService { new ServiceState(name, self, m_self.failureDomain, seed, m_events), view };
    } else if (served->config == view) {
        return true;
    }
    std::vector<Row> rows;
    for (const auto &[account, row] : view->rows) {
        rows.push_back(row.row);
    }
    deliverAll(served->state->configure(view->service, view->targets, rows, now));
    m_services.put(name, ServedService { served->state, view });
    return true;
}

void AssignedServices::stopServing(const ServiceName &name, Instant now)
{
    if (m_served.erase(name) == 0) {
        return;
    }
    m_services.remove(name);
    m_config.releaseView(name);
    m_onAssignment(name, {}, false, now);
}

void AssignedServices::releaseExpired(Instant now)
{
    std::vector<ServiceName> due;
    for (const auto &[name, served] : m_served) {
        if (served.releaseAt && *served.releaseAt <= now) {
            due.push_back(name);
        }
    }
    for (const ServiceName &name : due) {
        stopServing(name, now);
    }
}

} // namespace mulberryplank
