#pragma once

#include <map>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/policy/probeplan.h"
#include "mulberryplank/state/serviceregistry.h"

namespace mulberryplank
{

// Asks targets how they are, as the ProbePlan shares this out among the proxies that carry a service. An answer tells
// whether the target is leaving or cold, which traffic alone would show late; that it is well is never believed. A
// probe that fails is evidence as a failed request is. Runs on one io_context that one thread runs.
class Prober
{
public:
    Prober(boost::asio::io_context &context, ServiceRegistry &services, PeerId self);
    Prober(const Prober &) = delete;
    Prober &operator=(const Prober &) = delete;

    // Sets all proxies that carry a service, this one included; none forgets the service.
    void setAssignedProxies(const ServiceName &service, std::vector<PeerId> proxies);

    // Starts the probes that are due. To be called 10 times a second.
    void tick(Instant now);

private:
    boost::asio::awaitable<void> probe(ServiceStatePtr service, TargetState target);
    bool isOwnProbe(const std::vector<PeerId> &proxies, TargetId target, bool viewsDisagree) const;

    boost::asio::io_context &m_context;
    ServiceRegistry &m_services;
    PeerId m_self;
    ProbePlan m_plan;
    std::map<ServiceName, std::vector<PeerId>> m_assignedProxies;
    std::map<TargetId, Instant> m_nextProbe;
};

} // namespace mulberryplank
