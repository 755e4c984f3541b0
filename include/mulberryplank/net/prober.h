#pragma once

#include <map>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/policy/probeplan.h"
#include "mulberryplank/state/serviceregistry.h"

namespace mulberryplank
{

// Sends health probes to targets. ProbePlan distributes the probes among the proxies that are assigned a service. A
// response shows whether the target is leaving or cold, which traffic alone would show late; it is not taken as
// evidence that the target is healthy. A failed probe is evidence in the same way as a failed request. Runs on one
// io_context that is run by one thread.
class Prober
{
public:
    Prober(boost::asio::io_context &context, ServiceRegistry &services, PeerId self);
    Prober(const Prober &) = delete;
    Prober &operator=(const Prober &) = delete;

    // Sets all proxies that are assigned a service, including this one. An empty list removes the service.
    void setAssignedProxies(const ServiceName &service, std::vector<PeerId> proxies);

    // Starts the probes that are due. Must be called 10 times a second.
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
