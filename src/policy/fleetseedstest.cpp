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

TEST(FleetSeeds, eachFailureDomainHasAsManyWhateverItsSize)
{
    std::vector<Member> members;
    for (Incarnation i = 1; i <= 90; ++i) {
        members.push_back(memberAt("large", i));
    }
    members.push_back(memberAt("small", 91));
    CHECK_EQUAL(4, seedsAmong(members, 3));
}

TEST(FleetSeeds, strongestAreSeeds)
{
    const std::vector<Member> members { memberAt("hall", 1), memberAt("hall", 2, 500), memberAt("hall", 3) };
    CHECK_TRUE(isAmongTopRanked(members, 2, 1));
    CHECK_FALSE(isAmongTopRanked(members, 1, 1));
}

TEST(FleetSeeds, placeOfADeadOrLeavingSeedIsTaken)
{
    for (const MemberStatus status : { MemberStatus::Dead, MemberStatus::Leaving }) {
        std::vector<Member> members { memberAt("hall", 1), memberAt("hall", 2, 500) };
        CHECK_FALSE(isAmongTopRanked(members, 1, 1));
        members[1].status = status;
        CHECK_TRUE(isAmongTopRanked(members, 1, 1));
        CHECK_FALSE(isAmongTopRanked(members, 2, 1));
    }
}

TEST(FleetSeeds, seedsWithoutAMemberAreAbandoned)
{
    std::vector<Member> members { memberAt("hall", 1), memberAt("hall", 2) };
    members[1].status = MemberStatus::Dead;
    const std::vector<FleetSeed> seeds { { VmName("vm-1"), {}, {} },
                                         { VmName("vm-2"), {}, {} },
                                         { VmName("vm-3"), {}, {} } };
    const std::vector<VmName> stale = staleSeeds(seeds, members);
    CHECK_EQUAL(2, stale.size());
    CHECK_TRUE(stale.front() == VmName("vm-2"));
}

// Failure: newcomers find nobody, though the fleet runs.
TEST(FleetSeeds, whoKnowsNoSeedTakesNoneOut)
{
    const std::vector<Member> members { memberAt("hall", 1) };
    CHECK_EQUAL(0, staleSeeds({ { VmName("vm-2"), {}, {} }, { VmName("vm-3"), {}, {} } }, members).size());
}

// Failure: most processes of a fleet that starts read the configuration from the store, each for itself.
TEST(FleetSeeds, strongestReadsForItsFailureDomainBeforeAnybodyThereIsReady)
{
    std::vector<Member> members { memberAt("hall", 1), memberAt("hall", 2, 500), memberAt("other", 3, 900) };
    members[2].ready = true;
    CHECK_EQUAL(2, designatedReader(members, FailureDomain("hall"))->incarnation);
    members[1].status = MemberStatus::Suspect;
    CHECK_EQUAL(1, designatedReader(members, FailureDomain("hall"))->incarnation);
    CHECK_FALSE(designatedReader(members, FailureDomain("none")).has_value());
}
