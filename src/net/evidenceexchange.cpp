#include "mulberryplank/net/evidenceexchange.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mulberryplank/net/cerealcodec.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace internal
{

// A report as it travels.
struct EvidenceMessage {
    std::string service;
    EvidenceReport report;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, report);
    }
};

} // namespace internal

EvidenceExchange::EvidenceExchange(ServiceRegistry &services, PeerTransport &transport, EventSink events)
    : m_services(services)
    , m_transport(transport)
    , m_events(std::move(events))
{
}

void EvidenceExchange::attach()
{
    m_transport.onDatagram(PeerKind::Evidence, [this](const PeerSender &sender, std::string_view payload) {
        receive(sender, payload);
    });
}

void EvidenceExchange::setPeers(const ServiceName &service, std::vector<AssignedPeer> peers, Instant now)
{
    AssignedService &assigned = m_assigned[service];
    assigned.peers = std::move(peers);
    const std::optional<ServedService> served = m_services.find(service);
    if (!served) {
        m_assigned.erase(service);
        return;
    }
    std::vector<PeerId> ids;
    for (const AssignedPeer &peer : assigned.peers) {
        ids.push_back(peer.id);
    }
    served->state->setPeers(ids, now);
}

void EvidenceExchange::tick(Instant now)
{
    for (auto &[service, assigned] : m_assigned) {
        if (assigned.peers.empty() || now < assigned.nextReport) {
            continue;
        }
        const std::optional<ServedService> served = m_services.find(service);
        if (served) {
            send(*served, assigned, now);
            assigned.nextReport = now + served->state->reportInterval();
        }
    }
}

void EvidenceExchange::send(const ServedService &served, const AssignedService &assigned, Instant now)
{
    const internal::EvidenceMessage message { served.state->name().value(), served.state->evidenceReport(now) };
    const std::string payload = cerealEncode(message);
    for (const AssignedPeer &peer : assigned.peers) {
        // A lost report costs nothing but time: the next one says the same and more.
        (void)m_transport.send(peer.endpoint, PeerKind::Evidence, payload);
    }
}

void EvidenceExchange::receive(const PeerSender &sender, std::string_view payload)
{
    const Result<internal::EvidenceMessage> message = cerealDecode<internal::EvidenceMessage>(payload);
    if (!message) {
        m_events(Event::PeerRefused, { { "vm", sender.vm.value() }, { "detail", message.error().detail } });
        return;
    }
    const std::optional<ServedService> served = m_services.find(ServiceName(message->service));
    if (served) {
        served->state->mergeEvidence(PeerId { sender.vm, sender.incarnation }, message->report, Clock::now());
    }
}

} // namespace mulberryplank
