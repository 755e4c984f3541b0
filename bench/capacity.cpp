// Measures what the control side of one proxy costs in a large fleet: the copies of the member list, placement, the
// table with its views, and the messages that carriers exchange. Processor time of one thread; prints JSON:
// bench-capacity [--out FILE] [--members N]
#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "../src/app/carriedservices.h"
#include "mulberryplank/net/cerealcodec.h"
#include "mulberryplank/net/peertransport.h"
#include "mulberryplank/policy/membership.h"
#include "mulberryplank/policy/pollerchoice.h"

using namespace mulberryplank;

namespace
{

constexpr std::size_t Domains = 6;
constexpr std::size_t Services = 3'500;
constexpr std::size_t Targets = 58'000;
constexpr std::size_t Rows = 220'000; // one for each client account
constexpr std::size_t RoutesPerService = 5; // 19,000 in all
constexpr std::size_t ChangesPerEdit = 1'000;
constexpr std::size_t TypicalTargets = 17; // of one service
constexpr int Repeats = 20;
const std::string FleetKey(48, 'k');
const Instant Begin = Instant(std::chrono::hours(1));

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

// Returns the microseconds of processor time that one call of `action` takes.
template<typename Action>
double microseconds(int repeats, Action action)
{
    const double begin = processorSeconds();
    for (int count = 0; count < repeats; ++count) {
        action();
    }
    return (processorSeconds() - begin) * 1e6 / repeats;
}

// Keeps the compiler from leaving out what nobody looks at.
volatile std::size_t kept = 0;

Member memberOf(std::size_t number)
{
    Member member;
    member.vm = VmName("vm-" + std::to_string(10'000 + number));
    member.incarnation = number + 1;
    member.failureDomain = FailureDomain("hall-" + std::to_string(number % Domains));
    const std::string host = "10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200 + 1);
    member.peer = Endpoint { host, 8'082 };
    member.caller = Endpoint { host, 8'080 };
    member.ready = true;
    return member;
}

std::vector<Member> fleetOf(std::size_t size)
{
    std::vector<Member> members;
    for (std::size_t number = 0; number < size; ++number) {
        members.push_back(memberOf(number));
    }
    return members;
}

std::string numbered(const char *prefix, std::size_t number)
{
    return prefix + std::to_string(1'000'000 + number);
}

ServiceName serviceName(std::size_t number)
{
    return ServiceName(numbered("service-", number));
}

Service serviceOf(std::size_t number)
{
    Service service;
    service.name = serviceName(number);
    for (std::size_t route = 0; route < RoutesPerService; ++route) {
        const std::string name = "part-" + std::to_string(route);
        service.routes.push_back({ name, "GET", "/" + name + "/", true, Millis(2'000), Millis(1'000) });
    }
    return service;
}

Target targetOf(std::size_t number)
{
    const FailureDomain domain("hall-" + std::to_string(number % Domains));
    return Target {
        TargetName(numbered("target-", number)), serviceName(number % Services), "10.100.200.30", 8'080, domain, 0
    };
}

Account accountOf(std::size_t number)
{
    Account account;
    account.name = AccountName(numbered("account-", number));
    account.secretDigest.fill(1);
    return account;
}

Row rowOf(std::size_t number)
{
    return Row { accountOf(number).name, serviceName(number % Services), 3, { 100, 8, 32 }, 0 };
}

// What every process does with the list of members: MemberService publishes a copy once a second, and each tick makes
// copies, a fingerprint and the choice of those that read the log.
boost::json::object memberList(std::size_t size)
{
    const std::vector<Member> members = fleetOf(size);
    const PlacementSettings placement;
    const VmName self = members.front().vm;
    const ServiceSize typical { TypicalTargets, 0 };
    const double copy = microseconds(Repeats, [&] {
        const std::vector<Member> another(members);
        kept = kept + another.size();
    });
    const double fingerprint = microseconds(Repeats, [&] {
        kept = kept + placementFingerprint(members, placement);
    });
    const double pollers = microseconds(Repeats, [&] {
        kept = kept + pollerRank(self, members, 2).value_or(0);
    });
    const double place = microseconds(Repeats, [&] {
        kept = kept + carriers(serviceName(0), members, placement, typical).size();
    });
    return { { "members", size },
             { "copy_us", copy },
             { "fingerprint_us", fingerprint },
             { "poller_rank_us", pollers },
             { "carriers_of_one_service_us", place } };
}

// Heap that a process's knowledge of the members takes: its own list, the list as handed out, and one published copy.
boost::json::object membershipMemory(std::size_t size)
{
    const std::vector<Member> members = fleetOf(size);
    const double before = heapBytes();
    Membership membership(members.front(), {}, 1);
    std::vector<MemberUpdate> updates;
    for (const Member &member : members) {
        MemberUpdate update;
        update.incarnation = member.incarnation;
        update.ready = true;
        update.description = std::make_shared<const MemberDescription>(
            MemberDescription { member.vm, member.peer, member.caller, member.failureDomain });
        updates.push_back(std::move(update));
    }
    membership.mergeExchange(updates, Begin);
    (void)membership.takeEvents();
    updates = {};
    const std::vector<Member> published(membership.members());
    return { { "members", published.size() },
             { "bytes_per_member", (heapBytes() - before) / static_cast<double>(size) } };
}

PeerTransportSettings keyedTransport()
{
    PeerTransportSettings settings;
    settings.listen = Endpoint { "127.0.0.1", 0 };
    settings.vm = VmName("vm-10000");
    settings.incarnation = 1;
    settings.fleetKeys = { FleetKey };
    return settings;
}

// The whole table, one process's share of the services, and what changes cost it.
class CarriedBench
{
public:
    explicit CarriedBench(std::size_t size)
        : m_members(fleetOf(size))
        , m_transport(m_context, keyedTransport(), m_events)
        , m_evidence(m_services, m_transport, m_events)
        , m_shares(m_services, m_transport, m_events)
        , m_prober(m_context, m_services, PeerId { m_members.front().vm, m_members.front().incarnation })
    {
    }

    boost::json::object run()
    {
        const double empty = heapBytes();
        fill();
        const double table = heapBytes() - empty;
        CarriedServices carried(
            m_services, m_config, m_evidence, m_shares, m_prober, m_members.front(), m_placement, m_events);
        const auto update = [&] {
            carried.update(m_members, m_config.applied(), m_now);
        };
        const double first = microseconds(1, update);
        const double views = heapBytes() - empty - table;
        const double unchanged = microseconds(Repeats, update);
        const double afterLeave = microseconds(2, [&] {
            m_members.back().ready = !m_members.back().ready;
            update();
        });
        const double afterEdit = microseconds(Repeats, [&] {
            editOneRow();
            update();
        });
        return { { "members", m_members.size() },    { "services_carried", carried.count() },
                 { "table_bytes", table },           { "views_and_carried_state_bytes", views },
                 { "first_placement_us", first },    { "tick_without_change_us", unchanged },
                 { "member_change_us", afterLeave }, { "edit_us", afterEdit } };
    }

private:
    void apply(std::vector<Change> changes)
    {
        const std::string record = encodeEdit({ EditId(numbered("edit-", m_edits++)), std::move(changes) });
        const auto position = m_config.position();
        const auto outcomes = m_config.learn({ position.applied, position.last, { record } });
        if (!outcomes || outcomes->front().status != EditStatus::Accepted) {
            std::cerr << "edit refused\n";
            std::exit(1);
        }
    }

    template<typename Make>
    void add(std::size_t count, Make make)
    {
        std::vector<Change> changes;
        for (std::size_t number = 0; number < count; ++number) {
            changes.push_back({ make(number), false });
            if (changes.size() == ChangesPerEdit || number + 1 == count) {
                apply(std::move(changes));
                changes = {};
            }
        }
    }

    void fill()
    {
        add(Services, serviceOf);
        add(Targets, targetOf);
        add(Rows, accountOf);
        add(Rows, rowOf);
    }

    void editOneRow()
    {
        Row row;
        m_config.read([&](const ConfigTable &table) {
            const Row model = rowOf(m_edited * 7'919 % Rows);
            row = table.row(model.account, model.service).value();
        });
        ++m_edited;
        row.weight = row.weight % 100 + 1;
        apply({ { row, false } });
    }

    EventSink m_events = [](Event, std::initializer_list<EventField>) {};
    std::vector<Member> m_members;
    PlacementSettings m_placement;
    boost::asio::io_context m_context;
    ServiceRegistry m_services;
    ConfigState m_config;
    PeerTransport m_transport;
    EvidenceExchange m_evidence;
    ShareExchange m_shares;
    Prober m_prober;
    Instant m_now = Begin;
    std::size_t m_edits = 0;
    std::size_t m_edited = 0;
};

// One report of evidence between two carriers of a typical service, as sealed for the wire without UDP and IP headers.
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
        kept = kept + sealed(report).size();
    });
    const double unsealing = microseconds(2'000, [&] {
        kept = kept + unseal(busy, { FleetKey })->payload.size();
    });
    report.evidence.clear();
    return { { "targets", targets },
             { "peers", peers },
             { "bytes_with_traffic", busy.size() },
             { "bytes_without_traffic", sealed(report).size() },
             { "encode_and_seal_us", sealing },
             { "unseal_us", unsealing } };
}

// The demand that one carrier of a service reports to the others while so many accounts call: what goes out in a few
// seconds. A report that doesn't fit in a datagram isn't sent.
class DemandBench
{
public:
    DemandBench(std::size_t accounts, std::size_t peers)
        : m_accounts(accounts)
        , m_peers(peers)
        , m_transport(m_context, keyedTransport(), m_events)
        , m_exchange(m_services, m_transport, m_events)
        , m_state(new ServiceState(serviceName(0), Self, FailureDomain("hall-0"), 1, m_events))
    {
        m_transport.start();
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
        std::vector<CarrierPeer> carriers;
        std::vector<PeerId> ids;
        for (std::size_t number = 1; number <= peers; ++number) {
            const Member member = memberOf(number);
            ids.push_back(PeerId { member.vm, member.incarnation });
            carriers.push_back(CarrierPeer { ids.back(), Endpoint { "127.0.0.1", DiscardPort } });
        }
        m_state->setPeers(ids, m_now);
        m_exchange.setPeers(serviceName(0), carriers);
    }

    boost::json::object run()
    {
        std::uint64_t reports = 0;
        std::uint64_t largest = 0;
        const double begin = processorSeconds();
        for (int step = 0; step < Steps; ++step) {
            callOnce();
            m_now += Millis(100);
            const std::uint64_t before = m_transport.bytesSent();
            m_exchange.tick(m_now);
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
                 { "core_us_per_second", (processorSeconds() - begin) * 1e6 / seconds } };
    }

private:
    static constexpr int Steps = 50;
    static constexpr std::uint16_t DiscardPort = 9;
    inline static const PeerId Self { VmName("vm-10000"), 1 };

    // Every account calls once, and is answered at once.
    void callOnce()
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
                    return WaiterPtr(new Waiter([](const Admitted &) {}));
                },
                m_now,
                others);
            deliverAll(std::move(others));
            if (admitted && *admitted) {
                Finished finished;
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
    std::string out;
    std::size_t members = 6'600;
    for (int index = 1; index + 1 < argc; index += 2) {
        const std::string option = argv[index];
        if (option == "--out") {
            out = argv[index + 1];
        } else if (option == "--members") {
            members = std::stoul(argv[index + 1]);
        }
    }
    boost::json::object result;
    result["member_list"] = boost::json::array { memberList(32), memberList(600), memberList(members) };
    result["membership_memory"] = membershipMemory(members);
    result["evidence"] = boost::json::array { evidenceReport(TypicalTargets, TypicalTargets - 1),
                                              evidenceReport(TypicalTargets, 5),
                                              evidenceReport(64, 63) };
    result["demand"] = demandReports();
    result["carried"] = CarriedBench(members).run();
    const std::string text = boost::json::serialize(result);
    std::cout << text << '\n';
    if (!out.empty()) {
        std::ofstream(out) << text << '\n';
    }
    return 0;
}
