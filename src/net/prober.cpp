#include "mulberryplank/net/prober.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/httpget.h"

#include <algorithm>
#include <charconv>

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

constexpr Duration ProbeTimeout = Seconds(1);
constexpr std::size_t MaxProbeBodyBytes = 16 * 1024; // all targets may be probed at the same time

std::optional<std::uint32_t> inFlightOf(const std::string &load)
{
    std::uint32_t inFlight = 0;
    const bool isNumber = std::from_chars(load.data(), load.data() + load.size(), inFlight).ec == std::errc {};
    return isNumber ? std::optional(inFlight) : std::nullopt;
}

} // namespace internal

Prober::Prober(asio::io_context &context, ServiceRegistry &services, PeerId self)
    : m_context(context)
    , m_services(services)
    , m_self(std::move(self))
    , m_plan(ProbePlanSettings {})
{
}

void Prober::setAssignedProxies(const ServiceName &service, std::vector<PeerId> proxies)
{
    if (proxies.empty()) {
        m_assignedProxies.erase(service);
    } else {
        m_assignedProxies[service] = std::move(proxies);
    }
}

bool Prober::isOwnProbe(const std::vector<PeerId> &proxies, TargetId target, bool viewsDisagree) const
{
    const std::vector<PeerId> probers = m_plan.probers(proxies, target, viewsDisagree);
    return std::find(probers.begin(), probers.end(), m_self) != probers.end();
}

void Prober::tick(Instant now)
{
    for (const auto &[service, proxies] : m_assignedProxies) {
        const std::optional<ServedService> served = m_services.find(service);
        if (!served) {
            continue;
        }
        for (TargetState &target : served->state->targets()) {
            const TargetId id = targetId(target.health.target);
            Instant &next = m_nextProbe[id];
            // This proxy and the others disagree about the suspicion of the target. An additional probe helps to
            // resolve that.
            const bool viewsDisagree = target.health.pathOnly;
            if (now < next || !isOwnProbe(proxies, id, viewsDisagree)) {
                continue;
            }
            next = now + m_plan.interval(viewsDisagree ? 2 : 1);
            asio::co_spawn(m_context, probe(served->state, std::move(target)), asio::detached);
        }
    }
}

asio::awaitable<void> Prober::probe(ServiceStatePtr service, TargetState target)
{
    const Instant started = Clock::now();
    const HttpGetResponse response =
        co_await httpGet(m_context, target.endpoint, "/-/health", internal::ProbeTimeout, internal::MaxProbeBodyBytes);
    const Instant now = Clock::now();
    const std::optional<TargetIndex> index = service->targetIndex(target.health.target);
    if (!index) {
        co_return;
    }
    if (response.error) {
        service->recordProbeFailure(*index, now - started, now);
    } else {
        const bool leaving = response.draining || response.body.find("\"leaving\"") != std::string::npos;
        const bool cold = response.body.find("\"cold\"") != std::string::npos;
        service->recordProbe(*index, leaving, cold, internal::inFlightOf(response.load), now);
    }
}

} // namespace mulberryplank
