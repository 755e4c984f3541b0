#pragma once

#include <map>
#include <vector>

#include "mulberryplank/net/evidenceexchange.h"
#include "mulberryplank/net/peertransport.h"
#include "mulberryplank/state/serviceregistry.h"

namespace mulberryplank
{

// Exchanges demand and claims of shared limits with the other proxies that carry the same services. Runs on the thread
// of the transport's io_context.
class ShareExchange
{
public:
    ShareExchange(boost::asio::io_context &context,
                  ServiceRegistry &services,
                  PeerTransport &transport,
                  EventSink events);
    ShareExchange(const ShareExchange &) = delete;
    ShareExchange &operator=(const ShareExchange &) = delete;

    // Takes over what peers send. To be called before the transport's start().
    void attach();

    // Sets the other proxies that carry a service.
    void setPeers(const ServiceName &service, std::vector<AssignedPeer> peers);

    // Gives up the claims of all services, so that the others need not wait for silence. To be called when the process
    // has finished its requests.
    void leave(Instant now);

    // Sends the reports that are due. To be called 10 times a second.
    void tick(Instant now);

private:
    Result<void> receive(const PeerSender &sender, std::string_view payload);
    void send(const ServiceName &service, const DemandReport &report, const std::vector<AssignedPeer> &peers);

    boost::asio::io_context &m_context;
    ServiceRegistry &m_services;
    PeerTransport &m_transport;
    EventSink m_events;
    std::map<ServiceName, std::vector<AssignedPeer>> m_peers;
};

} // namespace mulberryplank
