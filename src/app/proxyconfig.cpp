#include "proxyprocess.h"

#include <fstream>

#include <boost/json/serialize.hpp>

#include "mulberryplank/app/statejson.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace internal
{

constexpr Duration PullTimeout = Seconds(3);
constexpr Duration FirstMemberWait = Seconds(3);

} // namespace internal

void ProxyProcess::setUpConfiguration(std::vector<std::string> fleetKeys)
{
    PeerTransportSettings transport;
    transport.listen = m_settings.peer;
    transport.vm = m_settings.vm;
    transport.incarnation = m_incarnation;
    transport.fleetKeys = std::move(fleetKeys);
    m_peers = std::make_unique<PeerTransport>(m_control, std::move(transport), m_events);
    ConfigSync::Settings settings;
    settings.self = m_settings.vm;
    settings.seed = m_incarnation;
    m_configSync = std::make_unique<ConfigSync>(
        m_control,
        m_config,
        settings,
        accessTo(m_log),
        accessTo(*m_peers, internal::PullTimeout),
        [this] {
            return members();
        },
        m_events);
    m_configSync->attach(*m_peers);
}

// For a fleet that was restarted as a whole while the log is away: only an operator can say that this is the table.
void ProxyProcess::loadLastKnown()
{
    if (m_settings.lastKnownFile.empty()) {
        return;
    }
    std::ifstream file(m_settings.lastKnownFile, std::ios::binary);
    const std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const Result<void> loaded = m_configSync->loadLastKnown(bytes);
    if (!loaded) {
        m_events(Event::SettingsRefused,
                 { { "vm", m_settings.vm.value() },
                   { "detail", "--last-known-file " + m_settings.lastKnownFile + ": " + loaded.error().detail } });
    }
}

void ProxyProcess::setUpFleet()
{
    m_members = std::make_unique<MemberService>(
        m_control,
        *m_peers,
        self(),
        memberSettings(),
        m_incarnation,
        [this] {
            return MemberService::OwnState { m_assignedServices->applied(), m_callers.ready && !m_draining };
        },
        m_events);
    m_evidence = std::make_unique<EvidenceExchange>(m_services, *m_peers, m_events);
    m_evidence->attach();
    m_shares = std::make_unique<ShareExchange>(m_control, m_services, *m_peers, m_events);
    m_shares->attach();
    m_prober = std::make_unique<Prober>(m_control, m_services, PeerId { m_settings.vm, m_incarnation });
    m_placement.lifetime = m_settings.locateLifetime;
    m_assignedServices = std::make_unique<AssignedServices>(
        m_services,
        m_config,
        [this](const ServiceName &service, const std::vector<AssignedPeer> &proxies, bool assignedHere, Instant now) {
            setAssignedPeers(service, proxies, assignedHere, now);
        },
        self(),
        m_placement,
        m_events);
}

// Evidence and shares are exchanged with the other proxies, also while a service that has moved away is still served;
// its targets are probed by the proxies alone.
void ProxyProcess::setAssignedPeers(const ServiceName &service,
                                    const std::vector<AssignedPeer> &proxies,
                                    bool assignedHere,
                                    Instant now)
{
    const PeerId self { m_settings.vm, m_incarnation };
    std::vector<AssignedPeer> others;
    std::vector<PeerId> probers;
    for (const AssignedPeer &peer : proxies) {
        if (peer.id != self) {
            others.push_back(peer);
        }
        if (assignedHere) {
            probers.push_back(peer.id);
        }
    }
    m_shares->setPeers(service, others);
    m_evidence->setPeers(service, std::move(others), now);
    m_prober->setAssignedProxies(service, std::move(probers));
}

MemberServiceSettings ProxyProcess::memberSettings() const
{
    MemberServiceSettings settings;
    settings.membership.seeds = m_settings.seeds;
    return settings;
}

// Until a process has hasOtherMembers another member it would take itself for the only one that carries a service, and
// use the whole of every limit beside those that do so already. With seeds given it waits for one of them, but not for
// ever: it may really be the first.
bool ProxyProcess::hasJoinedFleet() const
{
    const bool hasOtherMembers = m_members->snapshot()->size() > 1;
    return hasOtherMembers || m_settings.seeds.empty() || Clock::now() - m_started > internal::FirstMemberWait;
}

// Called with each tick: what ConfigSync and the members have brought since the last one is given to the services.
void ProxyProcess::applyConfiguration()
{
    const Offset applied = m_config.applied();
    const bool ready = m_configSync->status().ready() && hasJoinedFleet();
    m_assignedServices->update(m_members->snapshot(), applied, Clock::now());
    if (ready != m_callers.ready) {
        m_callers.ready = ready;
        if (ready) {
            m_events(Event::ProcessReady, { { "vm", m_settings.vm.value() }, { "offset", applied } });
        }
    }
}

std::optional<ServiceAccess> ProxyProcess::findService(const ServiceName &name) const
{
    std::optional<ServedService> served = m_services.find(name);
    if (!served) {
        return std::nullopt;
    }
    return ServiceAccess { std::move(served->state), std::move(served->config) };
}

Member ProxyProcess::self() const
{
    Member self;
    self.vm = m_settings.vm;
    self.incarnation = m_incarnation;
    self.peer = m_settings.peer;
    self.caller = m_settings.caller;
    self.failureDomain = m_settings.failureDomain;
    return self;
}

std::vector<Member> ProxyProcess::members() const
{
    return *m_members->snapshot();
}

Result<std::string> ProxyProcess::locate(const ServiceName &service, const AccountName &account) const
{
    if (!m_callers.ready) {
        return failure(ErrorKind::NotReady, "this process has no configuration yet");
    }
    // Not by way of the service's view: that would be kept for every service that anybody asks for here.
    bool known = false;
    m_config.read([&](const ConfigTable &table) {
        known = table.row(account, service).has_value();
    });
    if (!known) {
        return failure(ErrorKind::UnknownService, "no such service for this account");
    }
    const std::vector<Member> assigned = m_assignedServices->assignedProxiesOf(service);
    const LocateResponse located = locateResponse(assigned, FailureDomain(), m_placement, ++m_locateSeed);
    boost::json::array addresses;
    for (const LocateEntry &entry : located.entries) {
        boost::json::object address = toJson(entry.caller);
        address["failure_domain"] = entry.failureDomain.value();
        address["weight"] = entry.weight;
        addresses.push_back(std::move(address));
    }
    const boost::json::object response { { "service", service.value() },
                                         { "lifetime_ms", located.lifetime.count() },
                                         { "addresses", std::move(addresses) } };
    return boost::json::serialize(response) + "\n";
}

} // namespace mulberryplank
