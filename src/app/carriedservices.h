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
class CarriedServices
{
public:
    using Members = std::vector<Member>;

    // Told of each service served here, after it is in the registry: who carries it, this process among them when
    // `mine`. A service that has moved away is still served with `mine` false. No carriers: it isn't served any more.
    using CarriersHook = std::function<void(
        const ServiceName &service, const std::vector<CarrierPeer> &carriers, bool mine, Instant now)>;

    CarriedServices(ServiceRegistry &services,
                    ConfigState &config,
                    CarriersHook onCarriers,
                    Member self,
                    PlacementSettings settings,
                    EventSink events);
    CarriedServices(const CarriedServices &) = delete;
    CarriedServices &operator=(const CarriedServices &) = delete;

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
        std::vector<CarrierPeer> carriers;
        bool mine = false;
        std::optional<Instant> releaseAt; // no longer placed here, still served until then
    };

    void followMembers(const Members &members, Instant now);
    void followConfiguration(Offset applied, Instant now);
    void followEdited(const ServiceName &name, Instant now);
    std::vector<ServiceName> allServices() const;
    void setCarriers(const ServiceName &name, Instant now);
    bool takeUp(const ServiceName &name, Instant now);
    void letGo(const ServiceName &name, Instant now);
    void releaseDue(Instant now);

    ServiceRegistry &m_services;
    ConfigState &m_config;
    CarriersHook m_onCarriers;
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
