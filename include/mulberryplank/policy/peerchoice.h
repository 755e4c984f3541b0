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

// Remembers the processes that recently didn't respond, or responded without what was requested, and those that take
// long to respond. Each request to an unresponsive process costs the full timeout, and dead members are detected only
// after some seconds. Thread-compatible.
class RecentlyFailedPeers
{
public:
    // Four times what a piece of a configuration takes on the slowest VMs' links when these are idle.
    static constexpr Duration ResponsePatience = Millis(200);

    // `lifetime`: how long a failure is remembered. `patience`: how long a process may take to respond before it counts
    // as failed.
    explicit RecentlyFailedPeers(Duration lifetime, Duration patience = ResponsePatience);

    // Records that a request is sent to a process. Until its end is recorded, the process counts as failed after the
    // patience.
    void noteRequest(Incarnation peer, Instant now);

    // Records a response of a process, and forgets its failure.
    void noteResponse(Incarnation peer);

    // Records that a request has ended without a response. That counts as a failure unless the process has responded to
    // another request meanwhile.
    void noteNoResponse(Incarnation peer, Instant now);

    // Records a failed request to a process.
    void note(Incarnation peer, Instant now);

    // Returns whether a process failed within the lifetime, or takes long to respond.
    bool contains(Incarnation peer, Instant now) const;

private:
    const Duration m_lifetime;
    const Duration m_patience;
    std::unordered_map<Incarnation, Instant> m_failedAt;
    std::unordered_map<Incarnation, Instant> m_requestedAt; // the first request without a response
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

// Returns which member to request a configuration newer than `version` from, as choosePeerForUpdate() does. Half of the
// requests go to ingress proxies, which are faster; all go to any member while no usable ingress proxy reports a newer
// one.
std::optional<Member> choosePeerForConfiguration(const std::vector<Member> &ingressProxies,
                                                 const std::vector<Member> &members,
                                                 Incarnation self,
                                                 std::uint64_t version,
                                                 const RecentlyFailedPeers &failedPeers,
                                                 Instant now,
                                                 std::mt19937_64 &random);

// Returns whether this process can connect to targets through `member`: another one that is alive, ready and not among
// `failedPeers`.
bool isUsableRelay(const Member &member, Incarnation self, const RecentlyFailedPeers &failedPeers, Instant now);

// Returns the member through which to connect to targets that this process can't reach, or nothing if none is usable.
// Prefers `ingressProxies`: these send requests to targets themselves, so they know whether they reach them.
std::optional<Member> chooseRelay(const std::vector<Member> &ingressProxies,
                                  const std::vector<Member> &members,

                                  Incarnation self,
                                  const RecentlyFailedPeers &failedPeers,
                                  Instant now,
                                  std::mt19937_64 &random);

} // namespace mulberryplank
