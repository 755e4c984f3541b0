#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <vector>

#include "mulberryplank/net/evidenceexchange.h"
#include "mulberryplank/policy/placementindex.h"
#include "mulberryplank/state/configstate.h"
#include "mulberryplank/state/serviceregistry.h"

namespace mulberryplank
{

// Keeps this process's set of services in step with the configuration and the members of the fleet: takes up services
// that placement gives it, and lets go of those that it takes away once callers' old answers have run out. Only
// services that are served here get a view of the configuration. Its commands run on the control thread.
class AssignedServices
{
public:
    using Members = std::vector<Member>;

    // Told of each service served here, after it is in the registry: who carries it, this process among them when
    // `assignedHere`. A service that has moved away is still served with `assignedHere` false. No proxies: it isn't
    // served any more.
    using AssignmentHook = std::function<void(
        const ServiceName &service, const std::vector<AssignedPeer> &proxies, bool assignedHere, Instant now)>;

    AssignedServices(ServiceRegistry &services,
                     ConfigState &config,
                     AssignmentHook onAssignment,
                     Member self,
                     PlacementSettings settings,
                     EventSink events);
    AssignedServices(const AssignedServices &) = delete;
    AssignedServices &operator=(const AssignedServices &) = delete;

    // Brings everything up to date. Costs next to nothing when the members are the list of the last call and the
    // configuration hasn't changed.
    void update(const std::shared_ptr<const Members> &members, Offset applied, Instant now);

    // Returns the configuration's offset that the services have been given.
    Offset applied() const;

    // Returns the number of services carried here.
    std::size_t count() const;

    // Returns the members that carry the service as of the last update(), the strongest claim first; none for a service
    // that isn't configured. From any thread.
    Members assignedProxiesOf(const ServiceName &name) const;

private:
    // A service that is served here.
    struct Served {
        std::vector<AssignedPeer> proxies;
        bool assignedHere = false;
        std::optional<Instant> releaseAt; // no longer placed here, still served until then
    };

    void updateMembers(const Members &members, Instant now);
    void updateConfiguration(Offset applied, Instant now);
    void updateService(const ServiceName &name, Instant now);
    std::vector<ServiceName> allServices() const;
    void setAssignedProxies(const ServiceName &name, Instant now);
    bool startServing(const ServiceName &name, Instant now);
    void stopServing(const ServiceName &name, Instant now);
    void releaseExpired(Instant now);

    ServiceRegistry &m_services;
    ConfigState &m_config;
    AssignmentHook m_onAssignment;
    Member m_self;
    PlacementSettings m_settings;
    EventSink m_events;
    mutable std::shared_mutex m_indexMutex; // guards the index alone
    PlacementIndex m_index;
    std::map<ServiceName, Served> m_served;
    std::shared_ptr<const Members> m_members; // as of the last update
    std::optional<Offset> m_applied;
};

} // namespace mulberryplank
