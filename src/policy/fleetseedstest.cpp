#include "mulberryplank/policy/fleetseeds.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

Member memberAt(const std::string &domain, Incarnation incarnation, std::uint32_t capacity = 100)
{
    Member member;
    member.vm = VmName("vm-" + std::to_string(incarnation));
    member.incarnation = incarnation;
    member.failureDomain = FailureDomain(domain);
    member.capacity = capacity;
    return member;
}

FleetSeed seedAt(const std::string &domain, Incarnation incarnation)
{
    return { VmName("vm-" + std::to_string(incarnation)), {}, FailureDomain(domain) };
}

std::function<bool(const Endpoint &)> always(bool value)
{
    return [value](const Endpoint &) {
        return value;
    };
}

std::size_t seedsAmong(const std::vector<Member> &members, std::size_t perDomain)
{
    std::size_t count = 0;
    for (const Member &member : members) {
        count += isAmongTopRanked(members, member.incarnation, perDomain) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_GROUP(FleetSeeds) {};

TEST(FleetSeeds, numberOfSeedsPerFailureDomainDoesNotDependOnItsSize)
{
    std::vector<Member> members;
    for (Incarnation i = 1; i <= 90; ++i) {
        members.push_back(memberAt("large", i));
    }
    members.push_back(memberAt("small", 91));
    CHECK_EQUAL(4, seedsAmong(members, 3));
}

TEST(FleetSeeds, membersWithHighestCapacityAreSeeds)
{
    const std::vector<Member> members { memberAt("hall", 1), memberAt("hall", 2, 500), memberAt("hall", 3) };
    CHECK_TRUE(isAmongTopRanked(members, 2, 1));
    CHECK_FALSE(isAmongTopRanked(members, 1, 1));
}

TEST(FleetSeeds, deadOrLeavingSeedIsReplaced)
{
    for (const MemberStatus status : { MemberStatus::Dead, MemberStatus::Leaving }) {
        std::vector<Member> members { memberAt("hall", 1), memberAt("hall", 2, 500) };
        CHECK_FALSE(isAmongTopRanked(members, 1, 1));
        members[1].status = status;
        CHECK_TRUE(isAmongTopRanked(members, 1, 1));
        CHECK_FALSE(isAmongTopRanked(members, 2, 1));
    }
}

TEST(FleetSeeds, deadSeedIsStaleInAnyDomain)
{
    std::vector<Member> members { memberAt("hall", 1), memberAt("other", 2) };
    members[1].status = MemberStatus::Dead;
    const std::vector<FleetSeed> seeds { seedAt("hall", 1), seedAt("other", 2) };
    CHECK_TRUE(staleSeeds(seeds, members, FailureDomain("hall"), always(false))
               == std::vector<VmName> { VmName("vm-2") });
}

TEST(FleetSeeds, seedWithoutAMemberIsStaleInTheOwnDomainOnceItDoesNotRespond)
{
    const std::vector<Member> members { memberAt("hall", 1) };
    const std::vector<FleetSeed> seeds { seedAt("hall", 1), seedAt("hall", 2), seedAt("other", 3) };
    CHECK_TRUE(staleSeeds(seeds, members, FailureDomain("hall"), always(false)).empty());
    CHECK_TRUE(staleSeeds(seeds, members, FailureDomain("hall"), always(true))
               == std::vector<VmName> { VmName("vm-2") });
}

// Guards against removing all seeds, after which starting processes can't find the running fleet.
TEST(FleetSeeds, noSeedIsStaleIfNoneIsKnown)
{
    const std::vector<Member> members { memberAt("hall", 1) };
    const std::vector<FleetSeed> seeds { seedAt("hall", 2), seedAt("hall", 3) };
    CHECK_EQUAL(0, staleSeeds(seeds, members, FailureDomain("hall"), always(true)).size());
}

// Guards against a starting fleet in which most processes read the configuration from the store themselves.
TEST(FleetSeeds, designatedReaderIsChosenBeforeAnyMemberIsReady)
{
    std::vector<Member> members { memberAt("hall", 1), memberAt("hall", 2, 500), memberAt("other", 3, 900) };
    members[2].ready = true;
    CHECK_EQUAL(2, designatedReader(members, FailureDomain("hall"))->incarnation);
    members[1].status = MemberStatus::Suspect;
    CHECK_EQUAL(1, designatedReader(members, FailureDomain("hall"))->incarnation);
    CHECK_FALSE(designatedReader(members, FailureDomain("none")).has_value());
}
