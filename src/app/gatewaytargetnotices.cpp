// What a gateway does about targets that ask for rest or say that they leave.
#include "gatewayprocess.h"

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

void GatewayProcess::setUpTargetNotices()
{
    m_gateway.forward.noteTargetNotice =
        [this](const ServiceName &name, const TargetName &target, const TargetNotice &notice, Incarnation) {
            handleTargetNotice(name, target, notice);
        };
}

void GatewayProcess::handleTargetNotice(const ServiceName &name, const TargetName &target, const TargetNotice &notice)
{
    if (notice.rest && service(name).balancer.noteRest(target, Clock::now() + *notice.rest)) {
        m_events(Event::TargetResting,
                 { { "service", name.value() },
                   { "target", target.value() },
                   { "left_ms", std::chrono::duration_cast<Millis>(*notice.rest).count() },
                   { "source", "target" } });
    }
    if (notice.isLeaving) {
        m_events(Event::TargetLeaving,
                 { { "service", name.value() }, { "target", target.value() }, { "source", "target" } });
    }
}

} // namespace mulberryplank
