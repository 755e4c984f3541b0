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

constexpr std::size_t Tiers = 3;

// Returns the tier of a member: 0 is preferred, members in Tiers are never selected.
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
    return Tiers;
}

void takeStrongest(std::vector<const Member *> candidates, const IngressSettings &settings, std::vector<Member> &chosen)
{
    std::sort(candidates.begin(), candidates.end(), [](const Member *one, const Member *other) {
        return ranksBefore(*one, *other);
    });
    double total = 0;
    for (const Member *candidate : candidates) {
        total += candidate->capacity;
    }
    double taken = 0;
    std::size_t count = 0;
    for (const Member *candidate : candidates) {
        if (count >= settings.minPerDomain && taken >= total * settings.capacityShare) {
            return;
        }
        taken += candidate->capacity;
        ++count;
        chosen.push_back(*candidate);
    }
}

} // namespace

} // namespace internal

std::vector<Member> ingressMembers(const std::vector<Member> &members, const IngressSettings &settings)
{
    using ByDomain = std::map<FailureDomain, std::vector<const Member *>>;
    std::array<ByDomain, internal::Tiers> tiers;
    for (const Member &member : members) {
        const std::size_t tier = internal::ingressTier(member);
        if (tier < internal::Tiers) {
            tiers.at(tier)[member.failureDomain].push_back(&member);
        }
    }
    std::vector<Member> chosen;
    for (const ByDomain &domains : tiers) {
        for (const auto &[domain, candidates] : domains) {
            internal::takeStrongest(candidates, settings, chosen);
        }
        if (!chosen.empty()) {
            break;
        }
    }
    return chosen;
}

} // namespace mulberryplank
