// What a gateway does about targets that ask for rest or say that they leave.
#include "gatewayprocess.h"

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

void GatewayProcess::setUpTargetNotices()
{
    m_gateway.forward.noteTargetNotice =
        [this](const ServiceName &name, const TargetName &target, const TargetNotice &notice, Incarnation relay) {
            handleTargetNotice(name, target, notice, relay);
        };
}

// Applies what a target's response said. The other gateways hear of a target that leaves before the list tells them.
// They hear of a rest only if the response came through a relay: the target has asked the relay's machine, through
// which others connect to it as well.
void GatewayProcess::handleTargetNotice(const ServiceName &name,
                                        const TargetName &target,
                                        const TargetNotice &notice,
                                        Incarnation relay)
{
    TargetNotice news = applyTargetNotice(name, target, notice, "target");
    if (relay == 0) {
        news.rest.reset();
    }
    if (!m_peers || (!news.isLeaving && !news.rest)) {
        return;
    }
    const std::string payload = encode(TargetNoticeReport { targetKey(target), news });
    for (const Member &member : targetNewsReceivers()) {
        // A gateway that misses a lost datagram learns it from the target or the list.
        static_cast<void>(m_peers->send(member.peer, PeerKind::TargetNotices, payload));
    }
}

void GatewayProcess::mergeTargetNotice(const TargetNoticeReport &report)
{
    const auto found = m_targetsByKey.find(report.target);
    if (found != m_targetsByKey.end()) {
        applyTargetNotice(found->second.serviceName, found->second.name, report.notice, "gateway");
    }
}

// Returns the part of the notice that was news. `source`: who told this process.
TargetNotice GatewayProcess::applyTargetNotice(const ServiceName &name,
                                               const TargetName &target,
                                               const TargetNotice &notice,
                                               std::string_view source)
{
    TargetBalancer &balancer = service(name).balancer;
    TargetNotice news;
    if (notice.rest && balancer.noteRest(target, Clock::now() + *notice.rest)) {
        news.rest = notice.rest;
        m_events(Event::TargetResting,
                 { { "service", name.value() },
                   { "target", target.value() },
                   { "left_ms", std::chrono::duration_cast<Millis>(*notice.rest).count() },
                   { "source", std::string(source) } });
    }
    if (notice.isLeaving && balancer.noteLeaving(target)) {
        news.isLeaving = true;
        m_events(Event::TargetLeaving,
                 { { "service", name.value() }, { "target", target.value() }, { "source", std::string(source) } });
    }
    return news;
}

} // namespace mulberryplank
