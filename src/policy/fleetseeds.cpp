#include "mulberryplank/policy/fleetseeds.h"

#include <algorithm>

#include "mulberryplank/policy/memberrank.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

bool runsOn(const Member &member, const VmName &vm)
{
    return member.vm == vm && member.status != MemberStatus::Dead;
}

bool isSeedCandidate(const Member &member)
{
    return member.status == MemberStatus::Alive || member.status == MemberStatus::Suspect;
}

} // namespace

} // namespace internal

bool isAmongTopRanked(const std::vector<Member> &members, Incarnation self, std::size_t perDomain)
{
    const auto own = std::find_if(members.begin(), members.end(), [self](const Member &member) {
        return member.incarnation == self;
    });
    if (own == members.end() || !internal::isSeedCandidate(*own)) {
        return false;
    }
    const auto before = std::count_if(members.begin(), members.end(), [&own](const Member &member) {
        return member.failureDomain == own->failureDomain && internal::isSeedCandidate(member)
               && ranksBefore(member, *own);
    });
    return static_cast<std::size_t>(before) < perDomain;
}

std::optional<Member> designatedReader(const std::vector<Member> &members, const FailureDomain &domain)
{
    const Member *reader = nullptr;
    for (const Member &member : members) {
        const bool candidate = member.failureDomain == domain && member.status == MemberStatus::Alive;
        if (candidate && (reader == nullptr || ranksBefore(member, *reader))) {
            reader = &member;
        }
    }
    return reader == nullptr ? std::nullopt : std::optional(*reader);
}

std::vector<VmName> staleSeeds(const std::vector<FleetSeed> &seeds,
                               const std::vector<Member> &members,
                               const FailureDomain &own,
                               const std::function<bool(const Endpoint &)> &isUnresponsive)
{
    const auto isStale = [&](const FleetSeed &seed) {
        const auto runs = [&seed](const Member &member) {
            return internal::runsOn(member, seed.vm);
        };
        const auto died = [&seed](const Member &member) {
            return member.vm == seed.vm && member.status == MemberStatus::Dead;
        };
        return std::none_of(members.begin(), members.end(), runs)
               && (std::any_of(members.begin(), members.end(), died)
                   || (seed.failureDomain == own && isUnresponsive(seed.peer)));
    };
    std::vector<VmName> stale;
    for (const FleetSeed &seed : seeds) {
        if (isStale(seed)) {
            stale.push_back(seed.vm);
        }
    }
    if (stale.size() == seeds.size()) {
        stale.clear();
    }
    return stale;
}

} // namespace mulberryplank
