// What a gateway does about the rate limits that targets name.
#include "gatewayprocess.h"

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

void GatewayProcess::setUpRateLimits()
{
    m_gateway.forward.noteRateLimit =
        [this](const ServiceName &name, const TargetName &target, const RateLimitNotice &notice) {
            handleRateLimit(name, target, notice);
        };
}

RateLimitShare GatewayProcess::rateLimitShareOf(const AnnouncedTarget &target, double perSecond) const
{
    return rateLimitShare(target, perSecond, { m_ingressMembers, m_liveMembers, m_incarnation });
}

// Called when the members of the fleet may have changed.
void GatewayProcess::updateRateLimitShares()
{
    const Instant now = Clock::now();
    for (auto &[name, known] : m_services) {
        known->balancer.updateRateLimitShares(now);
    }
}

// Applies what a target's response said, and tells the other ingress gateways of a change: those that don't send to
// this target would not learn of it.
void GatewayProcess::handleRateLimit(const ServiceName &name, const TargetName &target, const RateLimitNotice &notice)
{
    if (service(name).balancer.noteRateLimit(target, notice, Clock::now())) {
        logRateLimit(name, target, notice, "target");
        m_rateLimits.add(targetKey(target), notice);
        announceRateLimits();
    }
}

void GatewayProcess::mergeRateLimits(const std::vector<RateLimitReport> &reports)
{
    const Instant now = Clock::now();
    for (const RateLimitReport &report : reports) {
        const auto found = m_targetsByKey.find(report.target);
        if (found == m_targetsByKey.end()) {
            continue;
        }
        const KnownTarget &known = found->second;
        const RateLimitNotice notice = noticeOf(report, now);
        if (known.service->balancer.noteRateLimit(known.name, notice, now)) {
            logRateLimit(known.serviceName, known.name, notice, "gateway");
        }
    }
}

void GatewayProcess::announceRateLimits()
{
    if (!m_peers) {
        return;
    }
    const std::vector<RateLimitReport> reports = m_rateLimits.take(Clock::now());
    for (std::size_t begin = 0; begin < reports.size(); begin += RateLimitReportsPerDatagram) {
        const std::size_t end = std::min(begin + RateLimitReportsPerDatagram, reports.size());
        const std::string payload = encode(std::vector(reports.begin() + static_cast<std::ptrdiff_t>(begin),
                                                       reports.begin() + static_cast<std::ptrdiff_t>(end)));
        for (const Member &member : m_ingressMembers) {
            if (member.incarnation != m_incarnation) {
                // A lost datagram is repeated; after that the other gateway learns the limit from the target.
                static_cast<void>(m_peers->send(member.peer, PeerKind::RateLimits, payload));
            }
        }
    }
}

// `source`: who told this process.
void GatewayProcess::logRateLimit(const ServiceName &name,
                                  const TargetName &target,
                                  const RateLimitNotice &notice,
                                  std::string_view source) const
{
    m_events(Event::TargetRateLimited,
             { { "service", name.value() },
               { "target", target.value() },
               { "per_second", notice.perSecond ? std::to_string(*notice.perSecond) : "none" },
               { "source", std::string(source) } });
}

} // namespace mulberryplank
