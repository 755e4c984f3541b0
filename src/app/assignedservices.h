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

// Updates this process's set of services when the configuration or the members of the fleet change. Starts serving a
// service when placement assigns it to this process. Stops serving a service that is reassigned to other proxies after
// the callers' cached locate responses have expired. Only services that are served here get a view of the
// configuration. Must be used on the control thread, except for assignedProxiesOf().
class AssignedServices
{
public:
    using Members = std::vector<Member>;

    // Called with the assigned proxies of each service served here, after the service was added to the registry.
    // `assignedHere` is true if this process is one of them; a reassigned service is still served for a while with
    // `assignedHere` false. `proxies` is empty once the service is no longer served.
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

    // Applies changes of the members and of the configuration. Cheap if `members` is the same list as in the last call
    // and the configuration hasn't changed.
    void update(const std::shared_ptr<const Members> &members, Offset applied, Instant now);

    // Returns the offset of the configuration that was last applied to the services.
    Offset applied() const;

    // Returns the number of services that are assigned to this process.
    std::size_t count() const;

    // Returns the assigned proxies of the service as of the last update(), the highest placement rank first. Empty if
    // the service isn't configured. Thread-safe.
    Members assignedProxiesOf(const ServiceName &name) const;

private:
    // A service that is served here.
    struct Served {
        std::vector<AssignedPeer> proxies;
        bool assignedHere = false;
        std::optional<Instant> releaseAt; // end of serving, if the service was reassigned
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
    mutable std::shared_mutex m_indexMutex; // guards only m_index
    PlacementIndex m_index;
    std::map<ServiceName, Served> m_served;
    std::shared_ptr<const Members> m_members; // as of the last update
    std::optional<Offset> m_applied;
};

} // namespace mulberryplank
