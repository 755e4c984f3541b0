// Measures the reports that the proxies assigned to one service send each other: size, number and cost.
// Prints JSON: bench-carrierreports [--out FILE]
#include <algorithm>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mulberryplank/net/cerealcodec.h"
#include "mulberryplank/net/shareexchange.h"
#include "plansize.h"

using namespace mulberryplank;
using namespace mulberryplank::plansize;

namespace
{

// Measures one evidence report between two proxies assigned to a typical service. Sizes are those of the sealed
// message without UDP and IP headers.
boost::json::object evidenceReport(std::size_t targets, std::size_t peers)
{
    EvidenceReport report;
    report.sequence = 1;
    report.evidence.resize(targets);
    report.acks.resize(peers);
    const auto sealed = [](const EvidenceReport &content) {
        PeerEnvelope envelope;
        envelope.kind = PeerKind::Evidence;
        envelope.vm = VmName("vm-10000");
        envelope.from = { "10.0.100.100", 8'082 };
        envelope.destination = "10.0.100.100:8082";
        envelope.payload = cerealEncode(serviceName(0).value()) + cerealEncode(content);
        return seal(envelope, FleetKey);
    };
    const std::string busy = sealed(report);
    const double sealing = microseconds(2'000, [&] {
        optimizerSink = optimizerSink + sealed(report).size();
    });
    const double unsealing = microseconds(2'000, [&] {
        optimizerSink = optimizerSink + unseal(busy, { FleetKey })->payload.size();
    });
    report.evidence.clear();
    return { { "targets", targets },
             { "peers", peers },
             { "bytes_with_traffic", busy.size() },
             { "bytes_without_traffic", sealed(report).size() },
             { "encode_and_seal_us", sealing },
             { "unseal_us", unsealing } };
}

// Measures the demand that one proxy assigned to a service reports to the other assigned proxies while `accounts`
// accounts send requests and no other proxy reports. Counts what is sent in a few seconds, by datagram, or by call
// where a report doesn't fit into a datagram.
class DemandBench
{
public:
    DemandBench(std::size_t accounts, std::size_t peers)
        : m_accounts(accounts)
        , m_peers(peers)
        , m_transport(m_context, keyedTransportSettings(), m_events)
        , m_receiver(m_context, keyedTransportSettings(), m_events)
        , m_exchange(m_context, m_services, m_transport, m_events)
        , m_state(new ServiceState(serviceName(0), Self, FailureDomain("hall-0"), 1, m_events))
    {
        m_transport.start();
        m_receiver.onCall(PeerKind::Demand, [](const PeerSender &, std::string_view) {
            return Result<std::string>("");
        });
        m_receiver.start();
        std::vector<Target> targets;
        for (std::size_t number = 0; number < TypicalTargets; ++number) {
            targets.push_back(targetOf(number * Services));
        }
        std::vector<Row> rows;
        for (std::size_t number = 0; number < accounts; ++number) {
            rows.push_back(rowOf(number * Services));
        }
        deliverAll(m_state->configure(serviceOf(0), targets, rows, m_now));
        m_services.put(serviceName(0), ServedService { m_state, nullptr });
        std::vector<AssignedPeer> assignedPeers;
        std::vector<PeerId> ids;
        for (std::size_t number = 1; number <= peers; ++number) {
            const Member member = memberOf(number);
            ids.push_back(PeerId { member.vm, member.incarnation });
            assignedPeers.push_back(AssignedPeer { ids.back(), m_receiver.advertised() });
        }
        m_state->setPeers(ids, m_now);
        m_exchange.setPeers(serviceName(0), assignedPeers);
    }

    boost::json::object run()
    {
        std::uint64_t reports = 0;
        std::uint64_t largest = 0;
        const double begin = processorSeconds();
        for (int step = 0; step < Steps; ++step) {
            sendRequestFromEveryAccount();
            m_now += Millis(100);
            const std::uint64_t before = m_transport.bytesSent();
            m_exchange.tick(m_now);
            m_context.restart();
            m_context.run_for(CallCompletionTime);
            const std::uint64_t bytes = (m_transport.bytesSent() - before) / m_peers;
            reports += bytes > 0 ? 1 : 0;
            largest = std::max(largest, bytes);
        }
        const double seconds = Steps / 10.0;
        return { { "accounts", m_accounts },
                 { "peers", m_peers },
                 { "reports_sent_per_second", static_cast<double>(reports) / seconds },
                 { "bytes_sent_per_second_to_each_peer",
                   static_cast<double>(m_transport.bytesSent()) / static_cast<double>(m_peers) / seconds },
                 { "largest_report_bytes", largest },
                 { "core_us_per_second_of_both_sides", (processorSeconds() - begin) * 1e6 / seconds } };
    }

private:
    static constexpr int Steps = 50;
    static constexpr Millis CallCompletionTime { 15 }; // for the calls of one step
    inline static const PeerId Self { VmName("vm-10000"), 1 };

    // Every account sends one request, which completes immediately.
    void sendRequestFromEveryAccount()
    {
        for (std::size_t number = 0; number < m_accounts; ++number) {
            Admission admission;
            admission.account = rowOf(number * Services).account;
            admission.idempotent = true;
            admission.deadline = m_now + Seconds(10);
            Deliveries others;
            const auto admitted = m_state->admit(
                m_nextRequest++,
                admission,
                [] {
                    return WaiterPtr(new Waiter([](const AdmissionResult &) {}));
                },
                m_now,
                others);
            deliverAll(std::move(others));
            if (admitted && *admitted) {
                FinishedAttempt finished;
                finished.latency = Millis(4);
                finished.slotTime = Millis(4);
                deliverAll(m_state->finish(**admitted, finished, m_now));
            }
        }
    }

    EventSink m_events = [](Event, std::initializer_list<EventField>) {};
    std::size_t m_accounts;
    std::size_t m_peers;
    boost::asio::io_context m_context;
    ServiceRegistry m_services;
    PeerTransport m_transport;
    PeerTransport m_receiver; // receives for all peers
    ShareExchange m_exchange;
    ServiceStatePtr m_state;
    RequestId m_nextRequest = 1;
    Instant m_now = Begin;
};

boost::json::array demandReports()
{
    boost::json::array all;
    for (const std::size_t peers : { 5, 16 }) {
        for (const std::size_t accounts : { 1, 4, 8, 12, 16, 32, 63 }) {
            all.push_back(DemandBench(accounts, peers).run());
        }
    }
    return all;
}

} // namespace

int main(int argc, char **argv)
{
    boost::json::object result;
    result["evidence"] = boost::json::array { evidenceReport(TypicalTargets, TypicalTargets - 1),
                                              evidenceReport(TypicalTargets, 5),
                                              evidenceReport(64, 63) };
    result["demand"] = demandReports();
    const std::string text = boost::json::serialize(result);
    std::cout << text << '\n';
    if (argc == 3 && std::string(argv[1]) == "--out") {
        std::ofstream(argv[2]) << text << '\n';
    }
    return 0;
}
