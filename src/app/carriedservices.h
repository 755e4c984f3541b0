#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "mulberryplank/net/evidenceexchange.h"
#include "mulberryplank/net/prober.h"
#include "mulberryplank/net/shareexchange.h"
#include "mulberryplank/policy/placement.h"
#include "mulberryplank/state/configstate.h"
#include "mulberryplank/state/serviceregistry.h"

namespace mulberryplank
{

// Keeps this process's set of services in step with the configuration and the members of the fleet: takes up services
// that placement gives it, lets go of those that it takes away, and tells health evidence and probes who the other
// carriers are. Runs on the control thread.
class CarriedServices
{
public:
    using Members = std::vector<Member>;

    CarriedServices(ServiceRegistry &services,
                    const ConfigState &config,
                    EvidenceExchange &evidence,
                    ShareExchange &shares,
                    Prober &prober,
                    Member self,
                    PlacementSettings settings,
                    EventSink events);
    CarriedServices(const CarriedServices &) = delete;
    CarriedServices &operator=(const CarriedServices &) = delete;

    // Brings everything up to date. Cheap when neither the members nor the configuration have changed.
    void update(const Members &members, Offset applied, Instant now);

    // Returns the configuration's offset that the services have been given.
    Offset applied() const;

    // Returns the number of services carried here.
    std::size_t count() const;

private:
    struct Placed {
        ServiceViewPtr view;
        std::vector<CarrierPeer> carriers;
        bool mine = false;
        std::optional<Instant> releaseAt; // no longer placed here, still served until then
    };

    std::vector<ServiceName> configuredServices() const;
    void updateService(const ServiceName &name, const Members &members, bool membersChanged, Instant now);
    void place(const ServiceName &name, Placed &placed, const Members &members, Instant now);
    void takeUp(const ServiceName &name, const Placed &placed, Instant now);
    void letGo(const ServiceName &name, Instant now);
    void releaseDue(Instant now);

    ServiceRegistry &m_services;
    const ConfigState &m_config;
    EvidenceExchange &m_evidence;
    ShareExchange &m_shares;
    Prober &m_prober;
    Member m_self;
    PlacementSettings m_settings;
    EventSink m_events;
    std::map<ServiceName, Placed> m_placed;
    std::uint64_t m_membersSeen = 0; // fingerprint of what placement goes by
    std::optional<Offset> m_applied;
};

// Returns a fingerprint of all that placement goes by: it stays the same while members merely apply edits.
std::uint64_t placementFingerprint(const std::vector<Member> &members, const PlacementSettings &settings);

} // namespace mulberryplank
