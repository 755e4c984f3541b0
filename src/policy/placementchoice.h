#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mulberryplank/policy/placement.h"

// The rules by which proxies are assigned, shared by assignedProxies() and PlacementIndex.
namespace mulberryplank::internal
{

// A member with its score for a service. Of two equal scores the VM that is first by name wins.
struct Candidate {
    const Member *member = nullptr;
    double score = 0;

    bool operator<(const Candidate &other) const
    {
        return score != other.score ? score > other.score : member->vm < other.member->vm;
    }
};

// The candidates of one failure domain.
using DomainCandidates = std::vector<Candidate>;

std::uint64_t placementHash(const std::string &text);

// Returns the score of weighted rendezvous hashing: how often a member has the highest score is in proportion to its
// capacity.
double placementScore(std::uint64_t serviceHash, std::uint64_t vmHash, double capacity);

// Returns the members of the best eligibility tier that has any, one per VM. Of a VM listed under two incarnations it
// returns the one with the higher number, so that all processes choose the same one.
std::vector<const Member *> bestEligible(const std::vector<Member> &members, const PlacementSettings &settings);

// Returns how many proxies a service of this size is assigned, given enough members.
std::size_t wantedProxyCount(const ServiceSize &size, const PlacementSettings &settings);

// Returns the assigned proxies among the candidates, highest score first.
std::vector<Candidate> chooseProxies(std::vector<DomainCandidates> domains, // by value: they are reordered
                                     std::size_t wanted,
                                     const PlacementSettings &settings);

} // namespace mulberryplank::internal
