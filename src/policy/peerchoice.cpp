#include "mulberryplank/policy/peerchoice.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Removes the candidates for which `isUndesired` is true, unless it is true of all.
template<typename Predicate>
void removeUnlessAll(std::vector<Member> &candidates, Predicate isUndesired)
{
    if (!std::all_of(candidates.begin(), candidates.end(), isUndesired)) {
        std::erase_if(candidates, isUndesired);
    }
}

} // namespace

} // namespace internal

RecentlyFailedPeers::RecentlyFailedPeers(Duration lifetime, Duration patience)
    : m_lifetime(lifetime)
    , m_patience(patience)
{
}

void RecentlyFailedPeers::noteRequest(Incarnation peer, Instant now)
{
    m_requestedAt.try_emplace(peer, now);
}

void RecentlyFailedPeers::noteResponse(Incarnation peer)
{
    m_requestedAt.erase(peer);
    m_failedAt.erase(peer);
}

void RecentlyFailedPeers::noteNoResponse(Incarnation peer, Instant now)
{
    if (m_requestedAt.erase(peer) > 0) {
        note(peer, now);
    }
}

void RecentlyFailedPeers::note(Incarnation peer, Instant now)
{
    std::erase_if(m_failedAt, [this, now](const auto &noted) {
        return now - noted.second > m_lifetime;
    });
    m_failedAt[peer] = now;
}

bool RecentlyFailedPeers::contains(Incarnation peer, Instant now) const
{
    const auto requested = m_requestedAt.find(peer);
    if (requested != m_requestedAt.end() && now - requested->second >= m_patience) {
        return true;
    }
    const auto failed = m_failedAt.find(peer);
    return failed != m_failedAt.end() && now - failed->second <= m_lifetime;
}

std::optional<Member> choosePeerForTargetList(std::vector<Member> ingressProxies,
                                              std::vector<Member> members,
                                              Incarnation self,
                                              Incarnation reader,
                                              const RecentlyFailedPeers &failedPeers,
                                              Instant now,
                                              std::mt19937_64 &random)
{
    const auto isReader = [reader](const Member &member) {
        return member.incarnation == reader;
    };
    std::erase_if(ingressProxies, isReader);
    std::erase_if(members, isReader);
    const bool anyIngressUsable = std::any_of(ingressProxies.begin(), ingressProxies.end(), [&](const Member &entry) {
        return entry.incarnation != self && !failedPeers.contains(entry.incarnation, now);
    });
    return choosePeerForUpdate(
        std::move(anyIngressUsable ? ingressProxies : members), self, 0, failedPeers, now, random);
}

std::optional<Member> choosePeerForUpdate(std::vector<Member> candidates,
                                          Incarnation self,
                                          std::uint64_t version,
                                          const RecentlyFailedPeers &failedPeers,
                                          Instant now,
                                          std::mt19937_64 &random)
{
    std::erase_if(candidates, [self](const Member &member) {
        return member.incarnation == self || member.status == MemberStatus::Dead;
    });
    internal::removeUnlessAll(candidates, [&failedPeers, now](const Member &member) {
        return failedPeers.contains(member.incarnation, now);
    });
    internal::removeUnlessAll(candidates, [version](const Member &member) {
        return member.applied <= version;
    });
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const Member &one = candidates[any(random)];
    const Member &other = candidates[any(random)];
    return one.capacity >= other.capacity ? one : other;
}

std::optional<Member> choosePeerForConfiguration(const std::vector<Member> &ingressProxies,
                                                 const std::vector<Member> &members,
                                                 Incarnation self,
                                                 std::uint64_t version,
                                                 const RecentlyFailedPeers &failedPeers,
                                                 Instant now,
                                                 std::mt19937_64 &random)
{
    const bool prefersAny = std::bernoulli_distribution(0.5)(random);
    const bool ingressHasIt = std::any_of(ingressProxies.begin(), ingressProxies.end(), [&](const Member &member) {
        return member.incarnation != self && member.applied > version && !failedPeers.contains(member.incarnation, now);
    });
    const bool usesIngress = !prefersAny && ingressHasIt;
    return choosePeerForUpdate(usesIngress ? ingressProxies : members, self, version, failedPeers, now, random);
}

bool isUsableRelay(const Member &member, Incarnation self, const RecentlyFailedPeers &failedPeers, Instant now)
{
    return member.incarnation != self && member.status == MemberStatus::Alive && member.ready
           && !failedPeers.contains(member.incarnation, now);
}

std::optional<Member> chooseRelay(const std::vector<Member> &ingressProxies,
                                  const std::vector<Member> &members,
                                  Incarnation self,
                                  const RecentlyFailedPeers &failedPeers,
                                  Instant now,
                                  std::mt19937_64 &random)
{
    for (const std::vector<Member> *group : { &ingressProxies, &members }) {
        std::vector<const Member *> candidates;
        for (const Member &member : *group) {
            if (isUsableRelay(member, self, failedPeers, now)) {
                candidates.push_back(&member);
            }
        }
        if (!candidates.empty()) {
            return *candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random)];
        }
    }
    return std::nullopt;
}

} // namespace mulberryplank
