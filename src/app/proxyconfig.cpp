#include "proxyprocess.h"

#include <fstream>

#include <boost/json/serialize.hpp>

#include "mulberryplank/app/statejson.h"

namespace mulberryplank
{

using Clock = std::chrono::steady_clock;

namespace internal
{

constexpr Duration PullTimeout = Seconds(3);

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

// Called with each tick: what ConfigSync has learnt since the last one is given to the services.
void ProxyProcess::followConfiguration()
{
    const Offset applied = m_config.applied();
    const bool ready = m_configSync->status().ready();
    if (applied != m_appliedSeen) {
        m_appliedSeen = applied;
        applyConfiguration();
    }
    if (ready != m_callers.ready) {
        m_callers.ready = ready;
        if (ready) {
            m_events(Event::ProcessReady, { { "vm", m_settings.vm.value() }, { "offset", applied } });
        }
    }
}

// Gives every served service the configuration in force, and drops those that are gone.
void ProxyProcess::applyConfiguration()
{
    std::vector<ServiceName> names;
    m_config.read([&names](const ConfigTable &table) {
        for (const Service *service : table.services()) {
            names.push_back(service->name);
        }
    });
    std::map<ServiceName, ServiceViewPtr> configured;
    for (const ServiceName &name : names) {
        ServiceViewPtr view = m_config.service(name);
        if (!view) {
            continue;
        }
        configured[name] = view;
        const auto before = m_configured.find(name);
        if (before == m_configured.end() || before->second != view) {
            configure(name, view);
        }
    }
    for (const auto &[name, view] : m_configured) {
        if (!configured.contains(name)) {
            m_services.remove(name);
        }
    }
    m_configured = std::move(configured);
}

void ProxyProcess::configure(const ServiceName &name, const ServiceViewPtr &view)
{
    std::optional<ServedService> served = m_services.find(name);
    if (!served) {
        const std::uint64_t seed = m_incarnation ^ std::hash<ServiceName> {}(name);
        const PeerId self { m_settings.vm, m_incarnation };
        served = ServedService { new ServiceState(name, self, m_settings.failureDomain, seed, m_events), view };
    }
    std::vector<Row> rows;
    for (const auto &[account, row] : view->rows) {
        rows.push_back(row.row);
    }
    deliverAll(served->state->configure(view->service, view->targets, rows, Clock::now()));
    m_services.put(name, ServedService { served->state, view });
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
    self.status = m_draining ? MemberStatus::Leaving : MemberStatus::Alive;
    self.applied = m_appliedSeen;
    self.ready = m_callers.ready;
    return self;
}

std::vector<Member> ProxyProcess::members() const
{
    return { self() };
}

Result<std::string> ProxyProcess::locate(const ServiceName &service, const AccountName &account) const
{
    if (!m_callers.ready) {
        return failure(ErrorKind::NotReady, "this process has no configuration yet");
    }
    const ServiceViewPtr view = m_config.service(service);
    if (!view || !view->rows.contains(account)) {
        return failure(ErrorKind::UnknownService, "no such service for this account");
    }
    boost::json::array addresses;
    for (const Member &member : members()) {
        boost::json::object address = toJson(member.caller);
        address["failure_domain"] = member.failureDomain.value();
        address["weight"] = 1;
        addresses.push_back(std::move(address));
    }
    const boost::json::object answer { { "service", service.value() },
                                       { "lifetime_ms", m_settings.locateLifetime.count() },
                                       { "addresses", std::move(addresses) } };
    return boost::json::serialize(answer) + "\n";
}

} // namespace mulberryplank
