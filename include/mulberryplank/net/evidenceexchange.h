#pragma once

#include <map>
#include <vector>

#include "mulberryplank/net/peertransport.h"
#include "mulberryplank/state/serviceregistry.h"

namespace mulberryplank
{

// Where a service's other carriers are reached.
struct AssignedPeer {
    PeerId id;
    Endpoint endpoint;

    auto operator<=>(const AssignedPeer &) const = default;
};

// Exchanges evidence about targets with the other proxies that carry the same services. Runs on the thread of the
// transport's io_context.
class EvidenceExchange
{
public:
    EvidenceExchange(ServiceRegistry &services, PeerTransport &transport, EventSink events);
    EvidenceExchange(const EvidenceExchange &) = delete;
    EvidenceExchange &operator=(const EvidenceExchange &) = delete;

    // Takes over what peers send. To be called before the transport's start().
    void attach();

    // Sets the other proxies that carry a service.
    void setPeers(const ServiceName &service, std::vector<AssignedPeer> peers, Instant now);

    // Sends the reports that are due. To be called 10 times a second.
    void tick(Instant now);

private:
    struct AssignedService {
        std::vector<AssignedPeer> peers;
        Instant nextReport {};
    };

    void receive(const PeerSender &sender, std::string_view payload);
    void send(const ServedService &served, const AssignedService &assigned, Instant now);

    ServiceRegistry &m_services;
    PeerTransport &m_transport;
    EventSink m_events;
    std::map<ServiceName, AssignedService> m_assigned;
};

} // namespace mulberryplank
