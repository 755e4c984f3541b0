#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// The versions of the configuration that other processes have announced. An announcement arrives before the members'
// gossip reports the version, and only its sender is certain to have it then. Thread-compatible.
class AnnouncedVersions
{
public:
    // Records that a process has this version. Forgets what others announced up to `inForce`, the version that this
    // process has.
    void note(Incarnation process, std::uint64_t version, std::uint64_t inForce);

    // Returns the members with the announced versions where these are newer than the reported ones.
    std::vector<Member> appliedTo(std::vector<Member> members) const;

private:
    std::map<Incarnation, std::uint64_t> m_versions;
};

} // namespace mulberryplank
