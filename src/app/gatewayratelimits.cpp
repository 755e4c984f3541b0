// What a gateway does about the rate limits that targets name.
#include "gatewayprocess.h"

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// Bounds what a gateway sends for a limit that holds: a datagram each two seconds to these and to the ingress gateways.
constexpr std::size_t OtherReceivers = 32;

} // namespace

} // namespace internal

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

// Applies what a target's response said, and tells the other ingress gateways of a change at once: those that don't
// send to this target would not learn of it. That a limit still holds is sent with the next tick.
void GatewayProcess::handleRateLimit(const ServiceName &name, const TargetName &target, const RateLimitNotice &notice)
{
    const Instant now = Clock::now();
    TargetBalancer &balancer = service(name).balancer;
    const bool changed = balancer.noteRateLimit(target, notice, now);
    if (changed) {
        logRateLimit(name, target, notice, "target");
        m_rateLimits.add(targetKey(target), notice);
        announceRateLimits();
    } else if (notice.perSecond && balancer.startRateLimitRefresh(target, now)) {
        m_rateLimits.addRefresh(targetKey(target), notice);
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

// Returns the other ingress gateways and some of the rest, which get requests from callers that haven't moved yet. In
// small fleets these are all gateways.
std::vector<Member> GatewayProcess::targetNewsReceivers()
{
    std::vector<Member> receivers = randomMembers(internal::OtherReceivers);
    std::erase_if(receivers, [this](const Member &member) {
        return isIngress(member.incarnation);
    });
    for (const Member &member : m_ingressMembers) {
        if (member.incarnation != m_incarnation) {
            receivers.push_back(member);
        }
    }
    return receivers;
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
        for (const Member &member : targetNewsReceivers()) {
            // A lost datagram is repeated; after that the other gateway learns the limit from the target.
            static_cast<void>(m_peers->send(member.peer, PeerKind::RateLimits, payload));
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
