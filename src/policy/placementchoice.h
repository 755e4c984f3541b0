#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mulberryplank/policy/placement.h"

// The rules by which assignedProxies are chosen, shared by the answer from scratch and the one that is kept up to date.
namespace mulberryplank::internal
{

// A member with its claim on a service. Of two equal claims the VM first in order of name wins.
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

// Weighted rendezvous hashing: the member with the highest score wins as often as its capacity says.
double placementScore(std::uint64_t serviceHash, std::uint64_t vmHash, double capacity);

// Returns the bestEligible members there are, one per VM: of a VM listed under two incarnations, the one with the
// higher number, so that all choose the same one.
std::vector<const Member *> bestEligible(const std::vector<Member> &members, const PlacementSettings &settings);

// Returns how many assignedProxies a service of this size gets if there are so many members.
std::size_t wantedProxyCount(const ServiceSize &size, const PlacementSettings &settings);

// Returns the assignedProxies among the candidates, the strongest claim first.
std::vector<Candidate> chooseProxies(std::vector<DomainCandidates> domains, // by value: they are reordered
                                     std::size_t wanted,
                                     const PlacementSettings &settings);

} // namespace mulberryplank::internal
