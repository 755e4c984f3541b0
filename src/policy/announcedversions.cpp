#include "mulberryplank/policy/announcedversions.h"

#include <algorithm>

namespace mulberryplank
{

void AnnouncedVersions::note(Incarnation process, std::uint64_t version, std::uint64_t inForce)
{
    std::erase_if(m_versions, [inForce](const auto &announced) {
        return announced.second <= inForce;
    });
    if (version > inForce) {
        std::uint64_t &known = m_versions[process];
        known = std::max(known, version);
    }
}

std::vector<Member> AnnouncedVersions::appliedTo(std::vector<Member> members) const
{
    for (Member &member : members) {
        const auto announced = m_versions.find(member.incarnation);
        if (announced != m_versions.end()) {
            member.applied = std::max<std::uint64_t>(member.applied, announced->second);
        }
    }
    return members;
}

} // namespace mulberryplank
