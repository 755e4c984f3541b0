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

// Remembers the processes that recently didn't respond, or responded without what was requested. Each request to an
// unresponsive process costs the full timeout, and dead members are detected only after some seconds.
// Thread-compatible.
class RecentlyFailedPeers
{
public:
    // `lifetime`: how long a failure is remembered.
    explicit RecentlyFailedPeers(Duration lifetime);

    // Records a failed request to a process.
    void note(Incarnation peer, Instant now);

    // Returns whether a process failed within the lifetime.
    bool contains(Incarnation peer, Instant now) const;

private:
    const Duration m_lifetime;
    std::unordered_map<Incarnation, Instant> m_failedAt;
};

// Returns the member to request a list of targets from, or nothing if there is none. Selects one of `ingressProxies`,
// which already follow the targets, if any of them isn't among `failedPeers`, else one of `members`. Never selects
// `self`, a dead member or `reader`, and selects one of `failedPeers` only if all candidates are among them. `reader`
// is the designated reader, which has been queried before; `self` if there is no other.
std::optional<Member> choosePeerForTargetList(std::vector<Member> ingressProxies,
                                              std::vector<Member> members,
                                              Incarnation self,
                                              Incarnation reader,
                                              const RecentlyFailedPeers &failedPeers,
                                              Instant now,
                                              std::mt19937_64 &random);

// Returns which of `candidates` to request a configuration newer than `version` from, or nothing if there is none.
// Prefers members that report a newer one. Never selects `self` or a dead member, and selects one of `failedPeers` only
// if all candidates are among them. Draws two members at random and takes the one with the higher capacity: a
// configuration of 300 KB occupies the links of the slowest VMs for a quarter of a second, and all processes that
// missed it request it at once.
std::optional<Member> choosePeerForUpdate(std::vector<Member> candidates,
                                          Incarnation self,
                                          std::uint64_t version,
                                          const RecentlyFailedPeers &failedPeers,
                                          Instant now,
                                          std::mt19937_64 &random);

} // namespace mulberryplank
