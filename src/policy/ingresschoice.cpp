#include "mulberryplank/policy/ingresschoice.h"

#include <algorithm>
#include <array>
#include <map>

#include "mulberryplank/policy/memberrank.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

constexpr std::size_t TierCount = 3;

// Returns how far a member is from being fit: 0 is fit, TierCount never.
std::size_t ingressTier(const Member &member)
{
    switch (member.status) {
    case MemberStatus::Alive:
        return member.ready ? 0 : 1;
    case MemberStatus::Suspect:
    case MemberStatus::Leaving:
        return 2;
    case MemberStatus::Dead:
        break;
    }
    return TierCount;
}

void appendHighestCapacity(std::vector<const Member *> candidates,
                           const IngressSettings &settings,
                           std::vector<Member> &chosen)
{
    std::sort(candidates.begin(), candidates.end(), [](const Member *one, const Member *other) {
        return ranksBefore(*one, *other);
    });
    double totalCapacity = 0;
    for (const Member *candidate : candidates) {
        totalCapacity += candidate->capacity;
    }
    double chosenCapacity = 0;
    std::size_t count = 0;
    for (const Member *candidate : candidates) {
        if (count >= settings.minPerDomain && chosenCapacity >= totalCapacity * settings.capacityShare) {
            return;
        }
        chosenCapacity += candidate->capacity;
        ++count;
        chosen.push_back(*candidate);
    }
}

} // namespace

} // namespace internal

std::vector<Member> ingressMembers(const std::vector<Member> &members, const IngressSettings &settings)
{
    using ByDomain = std::map<FailureDomain, std::vector<const Member *>>;
    std::array<ByDomain, internal::TierCount> tiers;
    for (const Member &member : members) {
        const std::size_t tier = internal::ingressTier(member);
        if (tier < internal::TierCount) {
            tiers.at(tier)[member.failureDomain].push_back(&member);
        }
    }
    std::vector<Member> chosen;
    for (const ByDomain &domains : tiers) {
        for (const auto &[domain, candidates] : domains) {
            internal::appendHighestCapacity(candidates, settings, chosen);
        }
        if (!chosen.empty()) {
            break;
        }
    }
    return chosen;
}

} // namespace mulberryplank
