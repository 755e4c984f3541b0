#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Remembers which processes gave no answer, or not what they were asked for, a moment ago: each question to one that is
// silent costs its time limit, and members are known to be dead only after some seconds. Not synchronized.
class RecentlyFailedPeers
{
public:
    // `lifetime`: how long a process is remembered.
    explicit RecentlyFailedPeers(Duration lifetime);

    // A process didn't help.
    void note(Incarnation peer, Instant now);

    // Returns whether that is remembered of a process.
    bool contains(Incarnation peer, Instant now) const;

private:
    const Duration m_lifetime;
    std::unordered_map<Incarnation, Instant> m_failedAt;
};

// Returns whom to ask for a list of targets: one of `ingressProxies`, which follow the targets already, where any isn't
// among `failedPeers`, else one of `members`; never `self` nor the dead, and none of `failedPeers` unless they all are.
// Nothing: there is nobody to ask.
std::optional<Member> choosePeerForTargetList(const std::vector<Member> &ingressProxies,
                                              const std::vector<Member> &members,
                                              Incarnation self,
                                              const RecentlyFailedPeers &failedPeers,
                                              Instant now,
                                              std::mt19937_64 &random);

// Returns whom of `candidates` to ask for a configuration newer than `version`: one that says to have it, where there
// are any, else any that isn't dead; never `self`, and none of `failedPeers` unless they all are. Of two drawn at
// random the stronger one is taken: a configuration of 300 KB keeps the slowest VMs' links busy for a quarter of a
// second, and all processes that missed it ask at once. Nothing: there is nobody to ask.
std::optional<Member> choosePeerForUpdate(std::vector<Member> candidates,
                                          Incarnation self,
                                          std::uint64_t version,
                                          const RecentlyFailedPeers &failedPeers,
                                          Instant now,
                                          std::mt19937_64 &random);

} // namespace mulberryplank
