#include "mulberryplank/policy/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string_view>

#include <boost/unordered/unordered_flat_map.hpp>
#include <xxhash.h>

#include "placementchoice.h"

namespace mulberryplank
{

namespace internal
{

// The offset that half of the ready members have reached. What goes wrong with the highest offset instead: one member
// that follows a wrong log makes everyone else look behind, and gets all the traffic.
Offset medianApplied(const std::vector<Member> &members)
{
    std::vector<Offset> offsets;
    for (const Member &member : members) {
        if (member.status == MemberStatus::Alive && member.ready) {
            offsets.push_back(member.applied);
        }
    }
    if (offsets.empty()) {
        return 0;
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

// Returns how far a member is from being fit to carry: 0 is fit, Ineligible never.
constexpr int Ineligible = 3;
int eligibilityTier(const Member &member, Offset median, Offset maxLag)
{
    switch (member.status) {
    case MemberStatus::Dead:
        return Ineligible;
    case MemberStatus::Suspect:
    case MemberStatus::Leaving:
        return 2;
    case MemberStatus::Alive:
        break;
    }
    return member.ready && median - std::min(median, maxLag) <= member.applied ? 0 : 1;
}

void keepBest(std::vector<Candidate> &candidates, std::size_t count)
{
    const std::size_t kept = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept), candidates.end());
    candidates.resize(kept);
}

struct TextHash {
    std::size_t operator()(std::string_view text) const
    {
        return XXH3_64bits(text.data(), text.size());
    }
};

// While a VM is listed under two incarnations, a service that counted both would have one carrier fewer than it seems.
std::vector<const Member *> onePerVm(const std::vector<const Member *> &members)
{
    boost::unordered_flat_map<std::string_view, const Member *, TextHash> byVm(members.size());
    for (const Member *member : members) {
        const Member *&kept = byVm[member->vm.value()];
        if (!kept || kept->incarnation < member->incarnation) {
            kept = member;
        }
    }
    std::vector<const Member *> result;
    result.reserve(byVm.size());
    for (const auto &[vm, member] : byVm) {
        result.push_back(member);
    }
    return result;
}

std::uint64_t placementHash(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

// The VM is hashed, not the incarnation, so that a restart moves nothing.
double placementScore(std::uint64_t serviceHash, std::uint64_t vmHash, double capacity)
{
    const std::array<std::uint64_t, 2> input { serviceHash, vmHash };
    const std::uint64_t hash = XXH3_64bits(input.data(), sizeof input);
    constexpr double HashRange = 18446744073709551616.0; // 2 to the power of 64
    const double uniform = (static_cast<double>(hash) + 0.5) / HashRange;
    return -capacity / std::log(std::min(uniform, std::nextafter(1.0, 0.0)));
}

std::vector<const Member *> bestEligible(const std::vector<Member> &members, const PlacementSettings &settings)
{
    const Offset median = medianApplied(members);
    std::array<std::vector<const Member *>, Ineligible> tiers;
    for (const Member &member : members) {
        const int tier = eligibilityTier(member, median, settings.maxLag);
        if (tier < Ineligible) {
            tiers.at(static_cast<std::size_t>(tier)).push_back(&member);
        }
    }
    const auto best = std::find_if(tiers.begin(), tiers.end(), [](const auto &tier) {
        return !tier.empty();
    });
    return best == tiers.end() ? std::vector<const Member *> {} : onePerVm(*best);
}

std::size_t wantedProxyCount(const ServiceSize &size, const PlacementSettings &settings)
{
    const double byTargets = static_cast<double>(size.targets) / settings.targetsPerProxy;
    const double byRequests = size.requestsPerSecond / settings.requestsPerProxy;
    const double wanted = std::ceil(std::max(byTargets, byRequests));
    return std::min(settings.maxAssignedProxies, static_cast<std::size_t>(wanted));
}

std::vector<Candidate> chooseProxies(std::vector<DomainCandidates> domains,
                                     std::size_t wanted,
                                     const PlacementSettings &settings)
{
    std::vector<Candidate> chosen;
    std::vector<Candidate> rest;
    for (DomainCandidates &candidates : domains) {
        keepBest(candidates, std::max(wanted, settings.minPerFailureDomain));
        const std::size_t reserved = std::min(settings.minPerFailureDomain, candidates.size());
        const auto split = candidates.begin() + static_cast<std::ptrdiff_t>(reserved);
        chosen.insert(chosen.end(), candidates.begin(), split);
        rest.insert(rest.end(), split, candidates.end());
    }
    keepBest(rest, wanted > chosen.size() ? wanted - chosen.size() : 0);
    chosen.insert(chosen.end(), rest.begin(), rest.end());
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace internal

std::vector<Member> assignedProxies(const ServiceName &service,
                                    const std::vector<Member> &members,
                                    const PlacementSettings &settings,
                                    const ServiceSize &size)
{
    const std::uint64_t serviceHash = internal::placementHash(service.value());
    std::map<std::string_view, internal::DomainCandidates> byDomain;
    for (const Member *member : internal::bestEligible(members, settings)) {
        const double capacity = settings.capacity ? settings.capacity(*member) : 1;
        const std::uint64_t vmHash = internal::placementHash(member->vm.value());
        byDomain[member->failureDomain.value()].push_back(
            { member, internal::placementScore(serviceHash, vmHash, capacity) });
    }
    std::vector<internal::DomainCandidates> domains;
    for (auto &[domain, candidates] : byDomain) {
        domains.push_back(std::move(candidates));
    }
    std::vector<Member> result;
    const std::size_t wanted = internal::wantedProxyCount(size, settings);
    for (const internal::Candidate &candidate : internal::chooseProxies(std::move(domains), wanted, settings)) {
        result.push_back(*candidate.member);
    }
    return result;
}

LocateResponse locateResponse(const std::vector<Member> &assigned,
                              const FailureDomain &callerDomain,
                              const PlacementSettings &settings,
                              std::uint64_t callerSeed)
{
    LocateResponse response;
    response.lifetime = settings.lifetime;
    for (const Member &member : assigned) {
        const std::uint32_t weight = member.failureDomain == callerDomain ? settings.localWeight : 1;
        response.entries.push_back({ member.vm, member.incarnation, member.caller, member.failureDomain, weight });
    }
    const auto order = [callerSeed](const LocateEntry &entry) {
        const std::string &vm = entry.vm.value();
        return XXH3_64bits_withSeed(vm.data(), vm.size(), callerSeed);
    };
    std::sort(
        response.entries.begin(), response.entries.end(), [&order](const LocateEntry &one, const LocateEntry &other) {
            return one.weight != other.weight ? one.weight > other.weight : order(one) < order(other);
        });
    return response;
}

} // namespace mulberryplank
