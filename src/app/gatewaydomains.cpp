// What the gateways of different failure domains agree on: which part of a domain's demand others serve.
#include "gatewayprocess.h"

#include <algorithm>
#include <cmath>

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// A service is reported from this utilization of the own domain on, and while others report it. Services with little
// load cost no messages.
constexpr double ReportedUtilization = 0.5;
constexpr double LoggedShareChange = 0.1;

} // namespace

} // namespace internal

void GatewayProcess::updateDomainsWithProxies()
{
    std::set<FailureDomain> domains;
    for (const Member &member : m_ingressMembers) {
        domains.insert(member.failureDomain);
    }
    for (auto &[name, known] : m_services) {
        known->balancer.setDomainsWithProxies(domains);
    }
}

// Called with each tick.
void GatewayProcess::updateDomainShares()
{
    const Instant now = Clock::now();
    DomainLoadMessage message { m_settings.failureDomain, {} };
    for (auto &[name, known] : m_services) {
        if (!known->balancer.staysInDomain()) {
            known->domains = {};
            known->balancer.setAgreedShare({}, {}, now);
            logDomainShare(name, known->domains);
            continue;
        }
        const DomainLoad own = known->balancer.ownDomainLoad(now);
        if (isIngress(m_incarnation)) {
            known->domains.note(m_incarnation, own, now);
            if (mustReportLoad(own, known->domains, now)) {
                message.services.push_back({ name, static_cast<float>(own.demand), static_cast<float>(own.capacity) });
            }
        }
        known->domains.update(m_settings.failureDomain, now);
        known->balancer.setAgreedShare(known->domains.share(), known->domains.loads(now), now);
        logDomainShare(name, known->domains);
    }
    sendDomainLoads(message);
}

bool GatewayProcess::mustReportLoad(const DomainLoad &own, const DomainShares &reports, Instant now) const
{
    const auto proxies = std::count_if(m_ingressMembers.begin(), m_ingressMembers.end(), [this](const Member &member) {
        return member.failureDomain == m_settings.failureDomain;
    });
    // The other proxies of the domain are assumed to have the same demand until they report.
    const bool isBusy = own.demand * static_cast<double>(proxies) >= internal::ReportedUtilization * own.capacity;
    return (isBusy && own.demand > 0) || reports.hasOtherReports(m_incarnation, now);
}

void GatewayProcess::sendDomainLoads(const DomainLoadMessage &message)
{
    if (!m_peers) {
        return;
    }
    for (std::size_t begin = 0; begin < message.services.size(); begin += ServiceLoadsPerDatagram) {
        const std::size_t end = std::min(begin + ServiceLoadsPerDatagram, message.services.size());
        const DomainLoadMessage part { message.domain,
                                       std::vector(message.services.begin() + static_cast<std::ptrdiff_t>(begin),
                                                   message.services.begin() + static_cast<std::ptrdiff_t>(end)) };
        const std::string payload = encode(part);
        for (const Member &member : aliveOtherIngressMembers()) {
            // A lost message is followed by another one with the next tick.
            if (m_peers->send(member.peer, PeerKind::DomainLoad, payload)
                && member.failureDomain != m_settings.failureDomain) {
                m_domainLoadBytes += payload.size();
            }
        }
    }
}

// Logs a share that starts, ends or has changed by a tenth of the demand.
void GatewayProcess::logDomainShare(const ServiceName &name, const DomainShares &shares)
{
    const double share = shares.share().share;
    double &logged = m_loggedDomainShares[name];
    const bool startsOrEnds = (share > 0) != (logged > 0);
    if (!startsOrEnds && std::abs(share - logged) < internal::LoggedShareChange) {
        return;
    }
    logged = share;
    std::string receivers;
    for (const auto &[domain, weight] : shares.share().weights) {
        receivers += (receivers.empty() ? "" : ",") + domain.value();
    }
    m_events(Event::DomainShareChanged,
             { { "service", name.value() },
               { "failure_domain", m_settings.failureDomain.value() },
               { "share", share },
               { "receivers", receivers } });
}

void GatewayProcess::writeDomainMetrics(MetricsText &text) const
{
    const auto writeCrossings = [this, &text](std::uint64_t DomainCrossings::*count) {
        for (const auto &[name, known] : m_services) {
            for (const auto &[place, crossings] : known->crossings) {
                text.sample(static_cast<double>(crossings.*count),
                            { { "service", name.value() },
                              { "failure_domain", place.first.value() },
                              { "reason", std::string(place.second) } });
            }
        }
    };
    text.family("domain_crossings_total", "counter", "Attempts at targets of other failure domains.");
    writeCrossings(&DomainCrossings::attempts);
    text.family("domain_crossing_bytes_total", "counter", "Bytes of bodies to and from other failure domains.");
    writeCrossings(&DomainCrossings::bytes);
    text.family("domain_share", "gauge", "Part of the own failure domain's demand that leaves it by agreement.");
    for (const auto &[name, known] : m_services) {
        text.sample(known->domains.share().share, { { "service", name.value() } });
    }
    text.single("domain_load_bytes_total",
                "counter",
                "Bytes of reports on the load sent to gateways of other failure domains.",
                static_cast<double>(m_domainLoadBytes));
}

void GatewayProcess::mergeDomainLoads(const PeerSender &sender, const DomainLoadMessage &message)
{
    const Instant now = Clock::now();
    for (const ServiceLoad &load : message.services) {
        const auto found = m_services.find(load.service);
        if (found != m_services.end()) {
            found->second->domains.note(sender.incarnation, { message.domain, load.demand, load.capacity }, now);
        }
    }
}

} // namespace mulberryplank
