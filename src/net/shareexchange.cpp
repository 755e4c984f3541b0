#include "mulberryplank/net/shareexchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mulberryplank/net/cerealcodec.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

template<typename Archive>
void save(Archive &archive, const PeerStatus &peerStatus)
{
    archive(peerStatus.vm.value(), peerStatus.incarnation, peerStatus.sequence, peerStatus.unresponsive);
}

template<typename Archive>
void load(Archive &archive, PeerStatus &peerStatus)
{
    std::string vm;
    archive(vm, peerStatus.incarnation, peerStatus.sequence, peerStatus.unresponsive);
    peerStatus.vm = VmName(std::move(vm));
}

template<typename Archive>
void save(Archive &archive, const AccountReport &report)
{
    archive(report.account.value(), report.wanted, report.slots, report.claimed);
}

template<typename Archive>
void load(Archive &archive, AccountReport &report)
{
    std::string account;
    archive(account, report.wanted, report.slots, report.claimed);
    report.account = AccountName(std::move(account));
}

template<typename Archive>
void serialize(Archive &archive, DemandReport &report)
{
    archive(report.sequence,
            report.contentSequence,
            report.complete,
            report.leaving,
            report.claimsEvenParts,
            report.membersDigest,
            report.memberCount,
            report.peerStatus,
            report.accounts);
}

namespace internal
{

constexpr Duration CallTimeout = Seconds(1);

// A report as it travels.
struct DemandMessage {
    std::string service;
    DemandReport report;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, report);
    }
};

} // namespace internal

ShareExchange::ShareExchange(boost::asio::io_context &context,
                             ServiceRegistry &services,
                             PeerTransport &transport,
                             EventSink events)
    : m_context(context)
    , m_services(services)
    , m_transport(transport)
    , m_events(std::move(events))
{
}

void ShareExchange::attach()
{
    m_transport.onDatagram(PeerKind::Demand, [this](const PeerSender &sender, std::string_view payload) {
        (void)receive(sender, payload);
    });
    m_transport.onCall(PeerKind::Demand, [this](const PeerSender &sender, std::string_view payload) {
        return receive(sender, payload).map([] {
            return std::string();
        });
    });
}

void ShareExchange::setPeers(const ServiceName &service, std::vector<AssignedPeer> peers)
{
    m_peers[service] = std::move(peers);
}

void ShareExchange::tick(Instant now)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        const auto &[name, peers] = *entry;
        const std::optional<ServedService> served = m_services.find(name);
        if (!served) {
            entry = m_peers.erase(entry);
            continue;
        }
        // Without peers the report is still worked out: it is what moves this process's own share.
        if (const std::optional<DemandReport> report = served->state->demandReport(now)) {
            send(name, *report, peers);
        }
        ++entry;
    }
}

void ShareExchange::leave(Instant now)
{
    for (const auto &[name, peers] : m_peers) {
        const std::optional<ServedService> served = m_services.find(name);
        if (!served) {
            continue;
        }
        if (const std::optional<DemandReport> report = served->state->leaveShares(now)) {
            send(name, *report, peers);
        }
    }
    m_peers.clear();
}

// A report that names many accounts doesn't fit a datagram and can't be parted: parts that arrive apart would be taken
// for reports of less demand. It goes by call.
void ShareExchange::send(const ServiceName &service, const DemandReport &report, const std::vector<AssignedPeer> &peers)
{
    const std::string payload = cerealEncode(internal::DemandMessage { service.value(), report });
    for (const AssignedPeer &peer : peers) {
        if (payload.size() <= m_transport.maxDatagramPayload()) {
            (void)m_transport.send(peer.endpoint, PeerKind::Demand, payload);
            continue;
        }
        boost::asio::co_spawn(
            m_context,
            [this, endpoint = peer.endpoint, payload]() -> boost::asio::awaitable<void> {
                (void)co_await m_transport.call(endpoint, PeerKind::Demand, payload, internal::CallTimeout);
            },
            boost::asio::detached);
    }
}

Result<void> ShareExchange::receive(const PeerSender &sender, std::string_view payload)
{
    const Result<internal::DemandMessage> message = cerealDecode<internal::DemandMessage>(payload);
    if (!message) {
        m_events(Event::PeerRefused, { { "vm", sender.vm.value() }, { "detail", message.error().detail } });
        return tl::make_unexpected(message.error());
    }
    const std::optional<ServedService> served = m_services.find(ServiceName(message->service));
    if (served) {
        served->state->mergeDemand(PeerId { sender.vm, sender.incarnation }, message->report, Clock::now());
    }
    return {};
}

} // namespace mulberryplank
