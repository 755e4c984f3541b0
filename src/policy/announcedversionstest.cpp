#include "mulberryplank/policy/announcedversions.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

std::vector<Member> membersWith(std::uint64_t version)
{
    std::vector<Member> members(2);
    for (std::size_t index = 0; index < members.size(); ++index) {
        members[index].incarnation = index + 1;
        members[index].applied = version;
    }
    return members;
}

} // namespace

TEST_GROUP(AnnouncedVersions) {};

TEST(AnnouncedVersions, onlyTheSenderHasTheAnnouncedVersion)
{
    AnnouncedVersions versions;
    versions.note(2, 7, 5);
    const std::vector<Member> members = versions.appliedTo(membersWith(5));
    CHECK_EQUAL(5, members[0].applied);
    CHECK_EQUAL(7, members[1].applied);
}

TEST(AnnouncedVersions, lateAnnouncementOfAnOlderVersionIsIgnored)
{
    AnnouncedVersions versions;
    versions.note(2, 7, 5);
    versions.note(2, 6, 5);
    CHECK_EQUAL(7, versions.appliedTo(membersWith(5))[1].applied);
}

TEST(AnnouncedVersions, newerVersionsReportedByMembersAreKept)
{
    AnnouncedVersions versions;
    versions.note(2, 7, 5);
    CHECK_EQUAL(9, versions.appliedTo(membersWith(9))[1].applied);
}

TEST(AnnouncedVersions, versionsUpToTheOneInForceAreForgotten)
{
    AnnouncedVersions versions;
    versions.note(1, 7, 5);
    versions.note(2, 8, 7);
    CHECK_EQUAL(5, versions.appliedTo(membersWith(5))[0].applied);
}
