#include "carriedservices.h"

#include <algorithm>
#include <set>

#include <xxhash.h>

namespace mulberryplank
{

namespace internal
{

// A service that has moved away is served for as long as callers may still come on the strength of an old answer.
constexpr int ReleaseAfterLifetimes = 2;

CarrierPeer carrierPeer(const Member &member)
{
    return CarrierPeer { PeerId { member.vm, member.incarnation }, member.peer };
}

Offset newestApplied(const std::vector<Member> &members)
{
    Offset newest = 0;
    for (const Member &member : members) {
        newest = std::max(newest, member.applied);
    }
    return newest;
}

} // namespace internal

std::uint64_t placementFingerprint(const std::vector<Member> &members, const PlacementSettings &settings)
{
    const Offset newest = internal::newestApplied(members);
    std::uint64_t sum = members.size();
    for (const Member &member : members) {
        const bool behind = member.applied + settings.maxLag < newest;
        const std::string text = member.vm.value() + '/' + std::to_string(member.incarnation) + '/'
                                 + member.failureDomain.value() + '/' + std::string(toString(member.status))
                                 + (member.ready ? "/ready" : "/") + (behind ? "/behind" : "/");
        sum += XXH64(text.data(), text.size(), 0);
    }
    return sum;
}

CarriedServices::CarriedServices(ServiceRegistry &services,
                                 const ConfigState &config,
                                 EvidenceExchange &evidence,
                                 ShareExchange &shares,
                                 Prober &prober,
                                 Member self,
                                 PlacementSettings settings,
                                 EventSink events)
    : m_services(services)
    , m_config(config)
    , m_evidence(evidence)
    , m_shares(shares)
    , m_prober(prober)
    , m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_events(std::move(events))
{
}

Offset CarriedServices::applied() const
{
    return m_applied.value_or(0);
}

std::size_t CarriedServices::count() const
{
    return static_cast<std::size_t>(std::count_if(m_placed.begin(), m_placed.end(), [](const auto &entry) {
        return entry.second.mine;
    }));
}

std::vector<ServiceName> CarriedServices::configuredServices() const
{
    std::vector<ServiceName> names;
    m_config.read([&names](const ConfigTable &table) {
        for (const Service *service : table.services()) {
            names.push_back(service->name);
        }
    });
    return names;
}

void CarriedServices::update(const Members &members, Offset applied, Instant now)
{
    const std::uint64_t fingerprint = placementFingerprint(members, m_settings);
    const bool membersChanged = fingerprint != m_membersSeen;
    if (membersChanged || m_applied != applied) {
        const std::vector<ServiceName> names = configuredServices();
        for (const ServiceName &name : names) {
            updateService(name, members, membersChanged, now);
        }
        const std::set<ServiceName> configured(names.begin(), names.end());
        for (auto entry = m_placed.begin(); entry != m_placed.end();) {
            if (configured.contains(entry->first)) {
                ++entry;
                continue;
            }
            letGo(entry->first, now);
            entry = m_placed.erase(entry);
        }
        m_membersSeen = fingerprint;
        m_applied = applied;
    }
    releaseDue(now);
}

void CarriedServices::updateService(const ServiceName &name, const Members &members, bool membersChanged, Instant now)
{
    const ServiceViewPtr view = m_config.service(name);
    if (!view) {
        return;
    }
    Placed &placed = m_placed[name];
    const bool viewChanged = placed.view != view;
    placed.view = view;
    if (membersChanged || viewChanged) {
        place(name, placed, members, now);
    }
    if (viewChanged && (placed.mine || placed.releaseAt)) {
        takeUp(name, placed, now);
    }
}

void CarriedServices::place(const ServiceName &name, Placed &placed, const Members &members, Instant now)
{
    const ServiceSize size { placed.view->targets.size(), 0 };
    std::vector<CarrierPeer> carrying;
    for (const Member &member : carriers(name, members, m_settings, size)) {
        carrying.push_back(internal::carrierPeer(member));
    }
    std::sort(carrying.begin(), carrying.end());
    if (carrying == placed.carriers) {
        return;
    }
    placed.carriers = std::move(carrying);
    const PeerId self { m_self.vm, m_self.incarnation };
    const bool mine = std::any_of(placed.carriers.begin(), placed.carriers.end(), [&self](const CarrierPeer &peer) {
        return peer.id == self;
    });
    if (mine && !placed.mine) {
        placed.releaseAt.reset();
        takeUp(name, placed, now);
    }
    if (!mine && placed.mine) {
        placed.releaseAt = now + internal::ReleaseAfterLifetimes * m_settings.lifetime;
    }
    placed.mine = mine;
    m_events(Event::PlacementChanged,
             { { "service", name.value() }, { "carried", mine ? 1 : 0 }, { "members", placed.carriers.size() } });
    std::vector<CarrierPeer> others;
    std::vector<PeerId> all;
    for (const CarrierPeer &peer : placed.carriers) {
        all.push_back(peer.id);
        if (peer.id != self) {
            others.push_back(peer);
        }
    }
    m_shares.setPeers(name, others);
    m_evidence.setPeers(name, std::move(others), now);
    m_prober.setCarriers(name, mine ? std::move(all) : std::vector<PeerId> {});
}

void CarriedServices::takeUp(const ServiceName &name, const Placed &placed, Instant now)
{
    std::optional<ServedService> served = m_services.find(name);
    if (!served) {
        const std::uint64_t seed = m_self.incarnation ^ std::hash<ServiceName> {}(name);
        const PeerId self { m_self.vm, m_self.incarnation };
        served = ServedService { new ServiceState(name, self, m_self.failureDomain, seed, m_events), placed.view };
    }
    std::vector<Row> rows;
    for (const auto &[account, row] : placed.view->rows) {
        rows.push_back(row.row);
    }
    deliverAll(served->state->configure(placed.view->service, placed.view->targets, rows, now));
    m_services.put(name, ServedService { served->state, placed.view });
}

void CarriedServices::letGo(const ServiceName &name, Instant now)
{
    m_services.remove(name);
    m_evidence.setPeers(name, {}, now);
    m_prober.setCarriers(name, {});
}

void CarriedServices::releaseDue(Instant now)
{
    for (auto &[name, placed] : m_placed) {
        if (placed.releaseAt && *placed.releaseAt <= now) {
            placed.releaseAt.reset();
            letGo(name, now);
        }
    }
}

} // namespace mulberryplank
