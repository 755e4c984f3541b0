#pragma once

#include <map>
#include <vector>

#include "mulberryplank/net/peertransport.h"
#include "mulberryplank/state/serviceregistry.h"

namespace mulberryplank
{

// Identity and address of another proxy that is assigned a service.
struct AssignedPeer {
    PeerId id;
    Endpoint endpoint;

    auto operator<=>(const AssignedPeer &) const = default;
};

// Exchanges evidence about targets with the other proxies that are assigned the same services. Runs on the thread of
// the transport's io_context.
class EvidenceExchange
{
public:
    EvidenceExchange(ServiceRegistry &services, PeerTransport &transport, EventSink events);
    EvidenceExchange(const EvidenceExchange &) = delete;
    EvidenceExchange &operator=(const EvidenceExchange &) = delete;

    // Registers the handlers for messages from peers. Must be called before the transport's start().
    void attach();

    // Sets the other proxies that are assigned a service.
    void setPeers(const ServiceName &service, std::vector<AssignedPeer> peers, Instant now);

    // Sends the reports that are due. Must be called 10 times a second.
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
