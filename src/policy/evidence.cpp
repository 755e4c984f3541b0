#include "mulberryplank/policy/evidence.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace mulberryplank
{

namespace internal
{

constexpr std::uint16_t InformedAttempts = 1;
// What a healthy target's tests show now and then. Left out of every proxy's part, it can't add up over many proxies.
constexpr double Noise = 2;

void add(JointView &view, const TargetEvidence &evidence, double maxPerProxy, double minSupport)
{
    // A report is a peer's word: a value that is no number would make every sum with it wrong for good.
    if (!std::isfinite(evidence.suspicion)) {
        return;
    }
    const double part = std::clamp<double>(evidence.suspicion - Noise, 0, maxPerProxy);
    view.suspicion += part;
    view.largest = std::max(view.largest, part);
    if (part >= minSupport) {
        ++view.supporters;
    }
    if (part >= minSupport || evidence.attempts >= InformedAttempts) {
        ++view.observers;
    }
}

} // namespace internal

PeerKey peerKey(const PeerId &peer)
{
    return XXH64(peer.vm.value().data(), peer.vm.value().size(), peer.incarnation);
}

TargetId targetId(const TargetName &name)
{
    return XXH64(name.value().data(), name.value().size(), 0);
}

JointEvidence::JointEvidence(Duration lifetime)
    : m_lifetime(lifetime)
{
}

void JointEvidence::setPeers(const std::vector<PeerKey> &peers)
{
    std::map<PeerKey, PeerEvidence> kept;
    for (const PeerKey peer : peers) {
        kept[peer] = std::move(m_peers[peer]);
    }
    m_peers = std::move(kept);
}

void JointEvidence::receive(PeerKey peer, const std::vector<TargetEvidence> &evidence, Instant now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return;
    }
    found->second.receivedAt = now;
    found->second.byTarget.clear();
    for (const TargetEvidence &item : evidence) {
        found->second.byTarget[item.target] = item;
    }
}

bool JointEvidence::reportsHealthy(PeerKey peer, TargetId target, Instant now) const
{
    const auto evidence = m_peers.find(peer);
    if (evidence == m_peers.end() || now - evidence->second.receivedAt > m_lifetime) {
        return false;
    }
    const auto found = evidence->second.byTarget.find(target);
    return found != evidence->second.byTarget.end() && found->second.attempts >= internal::InformedAttempts
           && static_cast<double>(found->second.suspicion) <= internal::Noise;
}

JointView JointEvidence::view(const TargetEvidence &own, double maxPerProxy, double minSupport, Instant now) const
{
    JointView result;
    internal::add(result, own, maxPerProxy, minSupport);
    for (const auto &[peer, evidence] : m_peers) {
        const auto found = evidence.byTarget.find(own.target);
        if (found != evidence.byTarget.end() && now - evidence.receivedAt <= m_lifetime) {
            internal::add(result, found->second, maxPerProxy, minSupport);
        }
    }
    return result;
}

} // namespace mulberryplank
