#include "mulberryplank/policy/ingresschoice.h"

#include <algorithm>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

constexpr IngressSettings MinTwoOrAnEighth { 2, 0.125 };

Member member(const std::string &name, const std::string &domain, std::uint32_t capacity)
{
    Member result;
    result.vm = VmName(name);
    result.incarnation = std::hash<std::string> {}(name);
    result.failureDomain = FailureDomain(domain);
    result.ready = true;
    result.capacity = capacity;
    return result;
}

bool contains(const std::vector<Member> &chosen, const std::string &vm)
{
    return std::any_of(chosen.begin(), chosen.end(), [&vm](const Member &one) {
        return one.vm.value() == vm;
    });
}

} // namespace

TEST_GROUP(IngressChoice) {};

TEST(IngressChoice, strongestOfEachDomainAreNamed)
{
    const std::vector<Member> members = { member("a1", "a", 100),
                                          member("a2", "a", 500),
                                          member("a3", "a", 500),
                                          member("b1", "b", 100),
                                          member("b2", "b", 100) };
    const std::vector<Member> chosen = ingressMembers(members, MinTwoOrAnEighth);
    CHECK_EQUAL(4, chosen.size());
    CHECK_FALSE(contains(chosen, "a1"));
}

TEST(IngressChoice, largerDomainGetsMoreEntries)
{
    std::vector<Member> members;
    for (int index = 0; index < 32; ++index) {
        members.push_back(member("vm-" + std::to_string(index), "a", 100));
    }
    CHECK_EQUAL(4, ingressMembers(members, MinTwoOrAnEighth).size());
}

TEST(IngressChoice, membersThatLeaveOrAreNotReadyAreNamedOnlyWhenThereAreNoOthers)
{
    std::vector<Member> members = { member("a", "d", 100), member("b", "d", 100), member("c", "d", 100) };
    members[0].status = MemberStatus::Leaving;
    members[1].ready = false;
    CHECK_FALSE(contains(ingressMembers(members, MinTwoOrAnEighth), "a"));
    members[2].status = MemberStatus::Dead;
    CHECK_TRUE(contains(ingressMembers(members, MinTwoOrAnEighth), "b"));
    members[1].status = MemberStatus::Dead;
    CHECK_TRUE(contains(ingressMembers(members, MinTwoOrAnEighth), "a"));
    members[0].status = MemberStatus::Dead;
    CHECK_EQUAL(0, ingressMembers(members, MinTwoOrAnEighth).size());
}

TEST(IngressChoice, allAgreeWhateverTheOrderTheyKnowTheMembersIn)
{
    CHECK_TRUE(rc::check("agreed", [] {
        std::vector<Member> members;
        const auto count = *rc::gen::inRange(1, 40);
        for (int index = 0; index < count; ++index) {
            const std::string domain = std::to_string(*rc::gen::inRange(0, 4));
            members.push_back(member("vm-" + std::to_string(index), domain, *rc::gen::inRange<std::uint32_t>(1, 4)));
        }
        const std::vector<Member> chosen = ingressMembers(members, MinTwoOrAnEighth);
        std::shuffle(members.begin(), members.end(), std::mt19937(*rc::gen::arbitrary<std::uint32_t>()));
        RC_ASSERT(ingressMembers(members, MinTwoOrAnEighth) == chosen);
        std::map<FailureDomain, std::size_t> present;
        std::map<FailureDomain, std::size_t> chosenCounts;
        for (const Member &one : members) {
            ++present[one.failureDomain];
        }
        for (const Member &one : chosen) {
            ++chosenCounts[one.failureDomain];
        }
        for (const auto &[domain, size] : present) {
            RC_ASSERT(chosenCounts[domain] >= std::min<std::size_t>(2, size));
        }
    }));
}
