#include "mulberryplank/policy/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

Member memberOf(std::size_t index, std::size_t domains)
{
    Member member;
    member.vm = VmName("vm-" + std::to_string(index));
    member.incarnation = index + 1;
    member.failureDomain = FailureDomain("hall-" + std::to_string(index % domains));
    member.ready = true;
    member.applied = 5'000;
    return member;
}

std::vector<Member> anyFleet()
{
    const auto domains = *rc::gen::inRange<std::size_t>(1, 7);
    std::vector<Member> members;
    for (std::size_t i = 0; i < *rc::gen::inRange<std::size_t>(1, 80); ++i) {
        members.push_back(memberOf(i, domains));
    }
    return members;
}

std::set<VmName> vmsOf(const std::vector<Member> &members)
{
    std::set<VmName> vms;
    for (const Member &member : members) {
        vms.insert(member.vm);
    }
    return vms;
}

const ServiceName PressDesk("pressdesk");

} // namespace

TEST_GROUP(Placement) {};

TEST(Placement, assignmentSpreadsOverDomainsRegardlessOfOrderAndGrowsBySupersets)
{
    CHECK_TRUE(rc::check("spread, independent of the order, nested", [] {
        std::vector<Member> members = anyFleet();
        const auto targets = *rc::gen::inRange<std::size_t>(0, 60);
        const auto small = assignedProxies(PressDesk, members, {}, { targets });
        std::map<FailureDomain, std::size_t> present;
        std::map<FailureDomain, std::size_t> chosen;
        for (const Member &member : members) {
            ++present[member.failureDomain];
        }
        for (const Member &member : small) {
            ++chosen[member.failureDomain];
        }
        for (const auto &[domain, count] : present) {
            RC_ASSERT(chosen[domain] >= std::min<std::size_t>(2, count));
        }
        RC_ASSERT(small.size() >= std::min(targets, members.size()));
        const auto large = vmsOf(assignedProxies(PressDesk, members, {}, { targets + 10 }));
        std::reverse(members.begin(), members.end());
        RC_ASSERT(assignedProxies(PressDesk, members, {}, { targets }) == small);
        const auto smallVms = vmsOf(small);
        RC_ASSERT(std::includes(large.begin(), large.end(), smallVms.begin(), smallVms.end()));
    }));
}

TEST(Placement, removedMemberMovesAtMostItsOwnPlace)
{
    CHECK_TRUE(rc::check("minimal movement", [] {
        std::vector<Member> members = anyFleet();
        const auto before = vmsOf(assignedProxies(PressDesk, members, {}, { 8 }));
        const auto index = *rc::gen::inRange<std::size_t>(0, members.size());
        const VmName removed = members[index].vm;
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(index));
        for (const VmName &vm : before) {
            RC_ASSERT(vm == removed || vmsOf(assignedProxies(PressDesk, members, {}, { 8 })).count(vm) == 1);
        }
    }));
}

// Guards against directing callers to proxies that reject them, or whose rows are an hour old.
TEST(Placement, ineligibleMembersAreAssignedOnlyWithoutBetterOnes)
{
    CHECK_TRUE(rc::check("eligible before ineligible", [] {
        std::vector<Member> members = anyFleet();
        bool anyEligible = false;
        for (std::size_t i = 0; i < members.size(); ++i) {
            members[i].status = *rc::gen::element(
                MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Leaving, MemberStatus::Dead);
            members[i].ready = *rc::gen::arbitrary<bool>();
            anyEligible = anyEligible || (members[i].status == MemberStatus::Alive && members[i].ready);
        }
        for (const Member &member : assignedProxies(PressDesk, members, {})) {
            RC_ASSERT(member.status != MemberStatus::Dead);
            RC_ASSERT(!anyEligible || (member.status == MemberStatus::Alive && member.ready));
        }
    }));
}

TEST(Placement, laggingMemberIsLeftOutButOneAheadOfAllIsNotTheReference)
{
    std::vector<Member> members;
    for (std::size_t i = 0; i < 6; ++i) {
        members.push_back(memberOf(i, 1));
    }
    members[0].applied = 3'999;
    members[1].applied = 1'000'000;
    const auto vms = vmsOf(assignedProxies(PressDesk, members, {}, { 10 }));
    LONGS_EQUAL(5, vms.size());
    CHECK_FALSE(vms.count(members[0].vm) == 1);
}

TEST(Placement, responseListsTheCallersFailureDomainFirst)
{
    std::vector<Member> members;
    for (std::size_t i = 0; i < 12; ++i) {
        members.push_back(memberOf(i, 3));
    }
    const LocateResponse response =
        locateResponse(assignedProxies(PressDesk, members, {}), FailureDomain("hall-1"), {}, 1);
    LONGS_EQUAL(6, response.entries.size());
    CHECK_TRUE(response.entries[0].failureDomain == FailureDomain("hall-1"));
    CHECK_TRUE(response.entries[1].failureDomain == FailureDomain("hall-1"));
    CHECK_TRUE(response.entries[1].weight > response.entries[2].weight);
}

// Guards against a process that considers all others ineligible and takes the whole fleet's budget for itself.
TEST(Placement, anyLagMayBeAllowed)
{
    std::vector<Member> members = { memberOf(0, 1), memberOf(1, 1), memberOf(2, 1) };
    members[0].applied = 7;
    PlacementSettings settings;
    settings.minPerFailureDomain = 3;
    settings.maxLag = std::numeric_limits<Offset>::max();
    CHECK_EQUAL(3, assignedProxies(PressDesk, members, settings).size());
}
