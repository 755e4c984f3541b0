#include "mulberryplank/policy/floor.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

std::size_t floorOf(std::size_t targets, double share, std::uint32_t count)
{
    const double part = std::ceil(std::clamp(share, 0.0, 1.0) * static_cast<double>(targets));
    return std::min(targets, std::max(static_cast<std::size_t>(part), static_cast<std::size_t>(count)));
}

EjectionClaims::EjectionClaims(PeerKey self, EjectionClaimsSettings settings)
    : m_self(self)
    , m_settings(settings)
{
}

void EjectionClaims::setPeers(const std::vector<PeerKey> &peers, Instant now)
{
    const std::set<PeerKey> newPeers(peers.begin(), peers.end());
    for (auto &[key, peer] : m_peers) {
        if (peer.listed && newPeers.count(key) == 0) {
            peer.listed = false;
            peer.removedAt = now;
        }
    }
    for (const PeerKey key : newPeers) {
        if (key == m_self) {
            continue;
        }
        const auto [entry, added] = m_peers.try_emplace(key);
        entry->second.listed = true;
        if (added) {
            entry->second.addedAt = now;
            entry->second.lastReportAt = now;
        }
    }
}

bool EjectionClaims::receive(PeerKey peer, const EvidenceReport &report, Instant now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return false;
    }
    Peer &sender = found->second;
    // Datagrams arrive late and twice. An older report would bring back claims that were withdrawn up, and would count
    // as a sign of life of a peer that has fallen unresponsivePeer.
    if (report.sequence <= sender.newest) {
        return false;
    }
    sender.newest = report.sequence;
    sender.lastReportAt = now;
    for (const TargetId target : report.claimed) {
        const bool known = std::find(sender.claimed.begin(), sender.claimed.end(), target) != sender.claimed.end();
        m_hasUnconfirmedPeerClaims = m_hasUnconfirmedPeerClaims || !known;
    }
    sender.claimed = report.claimed;
    sender.unavailable = report.unavailable;
    sender.receivesFrom.clear();
    for (const ReportAck &ack : report.acks) {
        sender.receivesFrom.insert(ack.peer);
        if (ack.peer == m_self) {
            sender.confirmed = std::max(sender.confirmed, std::min(ack.sequence, m_sequence));
        }
    }
    return true;
}

void EjectionClaims::fill(EvidenceReport &report, Instant now)
{
    ++m_sequence;
    m_hasUnconfirmedPeerClaims = false;
    m_sent.push_back({ m_sequence, now });
    while (now - m_sent.front().at > m_settings.lease) {
        m_sent.pop_front();
    }
    report.sequence = m_sequence;
    report.unavailable = m_unavailable;
    for (auto &[target, claim] : m_claims) {
        if (claim.announced == 0) {
            claim.announced = m_sequence;
        }
        report.claimed.push_back(target);
    }
    for (const auto &[key, peer] : m_peers) {
        if (peer.newest != 0 && !isUnresponsive(peer, now)) {
            report.acks.push_back({ key, peer.newest });
        }
    }
}

void EjectionClaims::claim(TargetId target, Instant now)
{
    m_claims.try_emplace(target, Claim { now, 0, false });
}

void EjectionClaims::release(TargetId target)
{
    m_claims.erase(target);
}

bool EjectionClaims::isInEffect(TargetId target) const
{
    const auto found = m_claims.find(target);
    return found != m_claims.end() && found->second.inEffect;
}

bool EjectionClaims::claims(TargetId target) const
{
    return m_claims.count(target) != 0;
}

std::size_t EjectionClaims::countOtherClaims(TargetId target, Instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return claimedBy(entry.first, target, now);
    }));
}

bool EjectionClaims::claimedBy(PeerKey peer, TargetId target, Instant now) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || isUnresponsive(found->second, now)) {
        return false;
    }
    const std::vector<TargetId> &claimed = found->second.claimed;
    return std::find(claimed.begin(), claimed.end(), target) != claimed.end();
}

void EjectionClaims::setUnavailable(std::vector<TargetId> targets)
{
    m_unavailable = std::move(targets);
}

std::vector<TargetId> EjectionClaims::tick(const std::vector<TargetId> &known,
                                           std::size_t floor,
                                           const FaultSeverity &faultSeverity,
                                           Instant now)
{
    removeExpiredPeers(now);
    if (!hasLease(now)) {
        // Without confirmations the others may be about to count our ejections as lapsed and use up the floor
        // themselves. Ours end first, and have to be announced again.
        for (auto &[target, claim] : m_claims) {
            claim.announced = 0;
            claim.inEffect = false;
        }
        return {};
    }
    std::set<TargetId> out;
    const std::set<TargetId> outTargets = outInAnyView(now);
    std::copy_if(known.begin(), known.end(), std::inserter(out, out.end()), [&outTargets](TargetId target) {
        return outTargets.count(target) != 0;
    });
    const std::size_t budget = known.size() - std::min(floor, known.size());
    if (out.size() > budget) {
        return giveUpExcess(out, budget, faultSeverity, now);
    }
    for (auto &[target, claim] : m_claims) {
        claim.inEffect = claim.inEffect || isConfirmed(claim, now);
    }
    return {};
}

std::size_t EjectionClaims::outOfService(const std::vector<TargetId> &known, Instant now) const
{
    const std::set<TargetId> outTargets = outInAnyView(now);
    return static_cast<std::size_t>(std::count_if(known.begin(), known.end(), [&outTargets](TargetId target) {
        return outTargets.count(target) != 0;
    }));
}

bool EjectionClaims::needsReport() const
{
    return m_hasUnconfirmedPeerClaims || std::any_of(m_claims.begin(), m_claims.end(), [](const auto &entry) {
               return entry.second.announced == 0;
           });
}

bool EjectionClaims::hasLease(Instant now) const
{
    std::size_t responsiveProxies = 1;
    for (const auto &[key, peer] : m_peers) {
        if (!isUnresponsive(peer, now)) {
            if (!isFresh(peer, now)) {
                return false;
            }
            ++responsiveProxies;
            continue;
        }
        // Silent here only: the peer may be hearing others, and may be ejecting with their confirmations.
        const bool receivedElsewhere =
            std::any_of(m_peers.begin(), m_peers.end(), [&, unresponsivePeer = key](const auto &entry) {
                return !isUnresponsive(entry.second, now) && entry.second.receivesFrom.count(unresponsivePeer) != 0;
            });
        if (receivedElsewhere) {
            return false;
        }
    }
    return 2 * responsiveProxies > m_peers.size() + 1;
}

bool EjectionClaims::isUnresponsive(const Peer &peer, Instant now) const
{
    return now - peer.lastReportAt > m_settings.expiry;
}

bool EjectionClaims::isFresh(const Peer &peer, Instant now) const
{
    if (now - peer.addedAt <= m_settings.lease) {
        return true;
    }
    return std::any_of(m_sent.begin(), m_sent.end(), [&](const SentReport &sent) {
        return sent.sequence == peer.confirmed && now - sent.at <= m_settings.lease;
    });
}

bool EjectionClaims::isConfirmed(const Claim &claim, Instant now) const
{
    if (claim.announced == 0) {
        return m_peers.empty();
    }
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return isUnresponsive(entry.second, now) || entry.second.confirmed >= claim.announced;
    });
}

std::set<TargetId> EjectionClaims::outInAnyView(Instant now) const
{
    std::set<TargetId> result(m_unavailable.begin(), m_unavailable.end());
    for (const auto &[target, claim] : m_claims) {
        result.insert(target);
    }
    for (const auto &[key, peer] : m_peers) {
        if (!isUnresponsive(peer, now)) {
            result.insert(peer.claimed.begin(), peer.claimed.end());
            result.insert(peer.unavailable.begin(), peer.unavailable.end());
        }
    }
    return result;
}

std::vector<TargetId> EjectionClaims::giveUpExcess(const std::set<TargetId> &out,
                                                   std::size_t budget,
                                                   const FaultSeverity &faultSeverity,
                                                   Instant now)
{
    std::vector<TargetId> withdrawn;
    for (const auto &[target, claim] : m_claims) {
        if (out.count(target) != 0 && countOutranking(target, out, faultSeverity, now) >= budget) {
            withdrawn.push_back(target);
        }
    }
    for (const TargetId target : withdrawn) {
        m_claims.erase(target);
    }
    return withdrawn;
}

// Returns how many targets that are out come before `target`: those that nobody ejected, and the worse ones.
std::size_t EjectionClaims::countOutranking(TargetId target,
                                            const std::set<TargetId> &out,
                                            const FaultSeverity &faultSeverity,
                                            Instant now) const
{
    const double own = faultSeverity(target);
    return static_cast<std::size_t>(std::count_if(out.begin(), out.end(), [&](TargetId other) {
        if (other == target) {
            return false;
        }
        if (!claims(other) && countOtherClaims(other, now) == 0) {
            return true;
        }
        const double otherSeverity = faultSeverity(other);
        return otherSeverity > own || (otherSeverity == own && other < target);
    }));
}

void EjectionClaims::removeExpiredPeers(Instant now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        return !entry.second.listed && now - entry.second.removedAt > m_settings.retention;
    });
}

} // namespace mulberryplank
