#include "mulberryplank/policy/placementindex.h"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

// At full range from the first case on: in a fleet of one or two members nothing competes.
template<typename Number>
Number anyFrom(Number lowest, Number end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(lowest, end));
}

// Few VMs, so that they leave and come back, and several may claim the same name.
Member anyMember()
{
    Member member;
    member.vm = VmName("vm-" + std::to_string(anyFrom(0, 40)));
    member.incarnation = anyFrom<Incarnation>(1, 4);
    member.failureDomain = FailureDomain("hall-" + std::to_string(anyFrom(0, 4)));
    member.peer.port = anyFrom<std::uint16_t>(1, 3);
    member.status = *rc::gen::weightedElement<MemberStatus>({ { 8, MemberStatus::Alive },
                                                              { 1, MemberStatus::Suspect },
                                                              { 1, MemberStatus::Leaving },
                                                              { 1, MemberStatus::Dead } });
    member.ready = anyFrom(0, 5) > 0;
    member.applied = *rc::gen::element<Offset>(0, 100, 5'000);
    return member;
}

PlacementSettings anySettings()
{
    PlacementSettings settings;
    settings.minPerFailureDomain = anyFrom<std::size_t>(0, 4);
    if (*rc::gen::arbitrary<bool>()) {
        settings.capacity = [](const Member &member) {
            return 1.0 + member.peer.port;
        };
    }
    return settings;
}

void changeMembers(std::vector<Member> &members)
{
    const auto kind = anyFrom(0, 4);
    if (kind == 0 && !members.empty()) {
        members.erase(members.begin() + anyFrom<std::ptrdiff_t>(0, std::ssize(members)));
        return;
    }
    if (kind == 1 && !members.empty()) {
        members[anyFrom<std::size_t>(0, members.size())] = anyMember();
        return;
    }
    const auto joining = anyFrom(0, 8);
    for (int i = 0; i < joining; ++i) {
        members.push_back(anyMember());
    }
}

// One process is listed once under its incarnation, as MemberList guarantees.
std::vector<Member> withoutRepeats(std::vector<Member> members)
{
    const auto identity = [](const Member &member) {
        return std::pair(member.vm, member.incarnation);
    };
    std::stable_sort(members.begin(), members.end(), [&](const Member &one, const Member &other) {
        return identity(one) < identity(other);
    });
    const auto end = std::unique(members.begin(), members.end(), [&](const Member &one, const Member &other) {
        return identity(one) == identity(other);
    });
    members.erase(end, members.end());
    return members;
}

bool sameProcesses(const std::vector<Member> &one, const std::vector<Member> &other)
{
    return std::equal(one.begin(), one.end(), other.begin(), other.end(), [](const Member &left, const Member &right) {
        return left.vm == right.vm && left.incarnation == right.incarnation && left.peer == right.peer;
    });
}

} // namespace

TEST_GROUP(PlacementIndex) {};

// Failure: two proxies disagree for good on who carries a service; each refuses what the other sends.
TEST(PlacementIndex, equalsTheAnswerFromScratchAfterAnyChangesAndNamesWhatChanged)
{
    CHECK_TRUE(rc::check("index equals scratch", [] {
        const PlacementSettings settings = anySettings();
        PlacementIndex index(settings);
        std::vector<Member> members;
        std::map<ServiceName, ServiceSize> sizes;
        std::map<ServiceName, std::vector<Member>> before;
        const auto steps = anyFrom(1, 25);
        for (int step = 0; step < steps; ++step) {
            const ServiceName name("s" + std::to_string(anyFrom(0, 6)));
            std::vector<ServiceName> changed;
            const auto kind = anyFrom(0, 6);
            if (kind == 0) {
                index.removeService(name);
                sizes.erase(name);
                before.erase(name);
            } else if (kind == 1) {
                sizes[name] = { anyFrom<std::size_t>(0, 30), 0 };
                changed = index.setService(name, sizes[name]) ? std::vector { name } : std::vector<ServiceName> {};
            } else {
                changeMembers(members);
                changed = index.setMembers(withoutRepeats(members));
            }
            RC_ASSERT(index.services().size() == sizes.size());
            for (const auto &[service, size] : sizes) {
                const auto expected = assignedProxies(service, withoutRepeats(members), settings, size);
                RC_ASSERT(index.assignedProxiesOf(service) == expected);
                const bool reported = std::count(changed.begin(), changed.end(), service) == 1;
                RC_ASSERT(reported || sameProcesses(expected, before[service]));
                before[service] = expected;
            }
        }
    }));
}

// Failure: with 3,600 VMs replaced a day every proxy tells all its services' assignedProxies anew each time.
TEST(PlacementIndex, memberThatOnlyAppliesMoreOrCarriesNothingChangesNothing)
{
    PlacementIndex index({});
    std::vector<Member> members;
    for (std::size_t i = 0; i < 30; ++i) {
        Member member;
        member.vm = VmName("vm-" + std::to_string(i));
        member.incarnation = i + 1;
        member.ready = true;
        members.push_back(member);
    }
    CHECK_TRUE(index.setMembers(members).empty());
    CHECK_TRUE(index.setService(ServiceName("pressdesk"), {}));
    CHECK_FALSE(index.setService(ServiceName("pressdesk"), {}));
    members[3].applied = 7;
    CHECK_TRUE(index.setMembers(members).empty());
    const VmName assignedVm = index.assignedProxiesOf(ServiceName("pressdesk")).front().vm;
    const auto other = std::find_if(members.begin(), members.end(), [&index](const Member &member) {
        const auto assigned = index.assignedProxiesOf(ServiceName("pressdesk"));
        return std::none_of(assigned.begin(), assigned.end(), [&member](const Member &one) {
            return one.vm == member.vm;
        });
    });
    members.erase(other);
    CHECK_TRUE(index.setMembers(members).empty());
    std::erase_if(members, [&assignedVm](const Member &member) {
        return member.vm == assignedVm;
    });
    LONGS_EQUAL(1, index.setMembers(members).size());
}
