// Measures the cost of the control plane of one proxy in a large fleet: copies of the member list, placement, and the
// table with its views. Reports the processor time of one thread as JSON:
// bench-capacity [--out FILE] [--members N]
#include <malloc.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "../src/app/assignedservices.h"
#include "mulberryplank/policy/membership.h"
#include "mulberryplank/policy/pollerchoice.h"
#include "plansize.h"

using namespace mulberryplank;
using namespace mulberryplank::plansize;

namespace
{

constexpr std::size_t ChangesPerEdit = 1'000;
constexpr int Repeats = 20;

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

std::vector<Member> fleetOf(std::size_t size)
{
    std::vector<Member> members;
    for (std::size_t number = 0; number < size; ++number) {
        members.push_back(memberOf(number));
    }
    return members;
}

// Measures the work of every process on the member list: MemberService publishes a copy once a second, and each tick
// makes copies, computes a fingerprint and selects the members that read the log.
boost::json::object memberList(std::size_t size)
{
    const std::vector<Member> members = fleetOf(size);
    const PlacementSettings placement;
    const VmName self = members.front().vm;
    const ServiceSize typical { TypicalTargets, 0 };
    const double copy = microseconds(Repeats, [&] {
        std::vector<Member> another;
        another = members;
        optimizerSink = optimizerSink + another.size();
    });
    const double pollers = microseconds(Repeats, [&] {
        optimizerSink = optimizerSink + pollerRank(self, members, 2).value_or(0);
    });
    const double place = microseconds(Repeats, [&] {
        optimizerSink = optimizerSink + assignedProxies(serviceName(0), members, placement, typical).size();
    });
    return {
        { "members", size }, { "copy_us", copy }, { "poller_rank_us", pollers }, { "carriers_of_one_service_us", place }
    };
}

// Measures the heap that the member state of a process takes: its own list, the list returned to callers of members(),
// and one published copy.
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
    membership.mergeExchange({ updates, 0 }, Begin);
    (void)membership.takeEvents();
    updates = {};
    const std::vector<Member> published(membership.members());
    return { { "members", published.size() },
             { "bytes_per_member", (heapBytes() - before) / static_cast<double>(size) } };
}

// Measures the size of the whole table and of the services assigned to one process, and the cost of changes to them.
class AssignmentBench
{
public:
    explicit AssignmentBench(std::size_t size)
        : m_members(fleetOf(size))
    {
    }

    boost::json::object run()
    {
        const double empty = heapBytes();
        fill();
        const double table = heapBytes() - empty;
        const auto onAssignedPeers = [](const ServiceName &, const std::vector<AssignedPeer> &, bool, Instant) {};
        AssignedServices assigned(m_services, m_config, onAssignedPeers, m_members.front(), m_placement, m_events);
        auto list = std::make_shared<const std::vector<Member>>(m_members);
        const auto update = [&] {
            assigned.update(list, m_config.applied(), m_now);
        };
        const double first = microseconds(1, update);
        const double views = heapBytes() - empty - table;
        const double unchanged = microseconds(Repeats, update);
        const double afterMemberChange = microseconds(2, [&] {
            m_members.back().ready = !m_members.back().ready;
            list = std::make_shared<const std::vector<Member>>(m_members);
            update();
        });
        const double afterEdit = microseconds(Repeats, [&] {
            editOneRow();
            update();
        });
        return { { "members", m_members.size() },
                 { "services_carried", assigned.count() },
                 { "table_bytes", table },
                 { "views_and_carried_state_bytes", views },
                 { "first_placement_us", first },
                 { "tick_without_change_us", unchanged },
                 { "member_change_us", afterMemberChange },
                 { "edit_us", afterEdit } };
    }

private:
    void apply(std::vector<Change> changes)
    {
        const std::string record = encodeEdit({ EditId(numbered("edit-", m_edits++)), std::move(changes) });
        const auto position = m_config.position();
        const auto outcomes = m_config.applyUpdate({ position.applied, position.last, { record } });
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
    ServiceRegistry m_services;
    ConfigState m_config;
    Instant m_now = Begin;
    std::size_t m_edits = 0;
    std::size_t m_edited = 0;
};

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
    result["carried"] = AssignmentBench(members).run();
    const std::string text = boost::json::serialize(result);
    std::cout << text << '\n';
    if (!out.empty()) {
        std::ofstream(out) << text << '\n';
    }
    return 0;
}
