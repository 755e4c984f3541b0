#include "fleetpeers.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

#include <xxhash.h>

namespace mulberryplank::internal
{

namespace
{

// A given-up peer is remembered for this many silences, so that it can't come back with its old claims.
constexpr int RememberedTimeouts = 10;

bool isMajority(std::size_t part, std::size_t whole)
{
    return part * 2 > whole;
}

std::uint64_t digestOf(const std::vector<VmName> &members)
{
    std::string text;
    for (const VmName &member : members) {
        text += member.value();
        text += '\n';
    }
    return XXH64(text.data(), text.size(), 0);
}

bool earlier(const VmName &one, const VmName &other)
{
    return one.value() < other.value();
}

bool contains(const std::vector<VmName> &members, const VmName &vm)
{
    return std::binary_search(members.begin(), members.end(), vm, earlier);
}

} // namespace

double evenPart(std::size_t kind, double pool, std::uint32_t members)
{
    const double part = pool / std::max(members, 1U);
    return kind == static_cast<std::size_t>(LimitKind::RequestsPerSecond) ? part : std::floor(part);
}

double FleetPeer::claimed(const AccountName &account, std::size_t kind, double pool, std::uint32_t ownCount) const
{
    if (incarnation == 0) {
        return evenPart(kind, pool, ownCount);
    }
    const auto named = accounts.find(account.value());
    if (named != accounts.end()) {
        return named->second.claimed.at(kind);
    }
    return last.claimsEvenParts ? evenPart(kind, pool, last.memberCount) : 0;
}

bool FleetPeer::claimsAnything() const
{
    return last.claimsEvenParts || std::any_of(accounts.begin(), accounts.end(), [](const auto &named) {
               return named.second.claimed != ShareAmounts {};
           });
}

FleetPeers::FleetPeers(const FleetSharesSettings &settings, Instant now)
    : m_settings(settings)
    , m_unsettledSince(now)
{
}

bool FleetPeers::isMember(const VmName &vm) const
{
    return contains(m_members, vm);
}

FleetPeer *FleetPeers::find(const VmName &vm, Incarnation incarnation)
{
    for (FleetPeer &peer : m_peers) {
        if (peer.vm == vm && peer.incarnation == incarnation) {
            return &peer;
        }
    }
    return nullptr;
}

void FleetPeers::setMembers(std::vector<VmName> members, Instant now)
{
    std::sort(members.begin(), members.end(), earlier);
    members.erase(std::unique(members.begin(), members.end()), members.end());
    if (members == m_members) {
        return;
    }
    m_members = std::move(members);
    m_membersDigest = digestOf(m_members);
    m_unsettledSince = now;
    std::erase_if(m_peers, [this](const FleetPeer &peer) {
        return peer.incarnation == 0 && !isMember(peer.vm);
    });
    for (const VmName &member : m_members) {
        const bool known = std::any_of(m_peers.begin(), m_peers.end(), [&member](const FleetPeer &peer) {
            return peer.vm == member;
        });
        if (!known && member != m_settings.self) {
            FleetPeer &peer = m_peers.emplace_back();
            peer.vm = member;
            peer.known = now;
            peer.lastReceived = now;
        }
    }
}

void FleetPeers::recordSent(std::uint64_t sequence, Instant now)
{
    m_sent.emplace_back(sequence, now);
    while (m_sent.front().second + m_settings.lease < now) {
        m_sent.pop_front();
    }
}

const FleetPeer *FleetPeers::merge(const VmName &from, Incarnation incarnation, const DemandReport &report, Instant now)
{
    FleetPeer *peer = find(from, incarnation);
    if (peer == nullptr) {
        std::erase_if(m_peers, [&from](const FleetPeer &known) {
            return known.vm == from && known.incarnation == 0;
        });
        peer = &m_peers.emplace_back();
        peer->vm = from;
        peer->incarnation = incarnation;
        peer->known = now;
    }
    if (report.sequence <= peer->receivedSequence) {
        return nullptr;
    }
    peer->lastReceived = now;
    if (!report.complete && report.contentSequence != peer->last.contentSequence) {
        // The report that this one refers to was lost. Not acknowledging it makes the sender repeat all accounts.
        return nullptr;
    }
    peer->receivedSequence = report.sequence;
    peer->last = report;
    peer->last.accounts.clear();
    if (report.complete) {
        peer->accounts.clear();
    }
    for (const AccountReport &account : report.accounts) {
        peer->accounts.emplace(account.account.value(), account);
    }
    if (peer->unresponsive && !peer->claimsAnything()) {
        peer->unresponsive = false;
    }
    readAcknowledgement(*peer);
    return peer;
}

void FleetPeers::readAcknowledgement(FleetPeer &peer)
{
    for (const PeerStatus &entry : peer.last.peerStatus) {
        if (entry.vm != m_settings.self || entry.incarnation != m_settings.incarnation || entry.unresponsive) {
            continue;
        }
        const auto sent = std::find_if(m_sent.begin(), m_sent.end(), [&entry](const auto &candidate) {
            return candidate.first == entry.sequence;
        });
        if (sent != m_sent.end() && entry.sequence >= peer.acknowledged) {
            peer.acknowledged = entry.sequence;
            peer.acknowledgedSentAt = sent->second;
        }
    }
}

void FleetPeers::markUnresponsive(Instant now)
{
    for (FleetPeer &peer : m_peers) {
        peer.unresponsive = peer.unresponsive || now - peer.lastReceived >= m_settings.silenceTimeout;
        peer.trusted = peer.trusted || now - peer.known >= m_settings.silenceTimeout;
    }
    std::erase_if(m_peers, [this, now](const FleetPeer &peer) {
        const bool replaced =
            peer.incarnation != 0 && std::any_of(m_peers.begin(), m_peers.end(), [&peer](const FleetPeer &other) {
                return other.vm == peer.vm && other.known > peer.known;
            });
        const bool expired = now - peer.lastReceived >= RememberedTimeouts * m_settings.silenceTimeout;
        return expired && (replaced || !isMember(peer.vm)) && claimsReleased(peer, now);
    });
    updateSettledMembers(now);
}

// A part of the fleet that lost sight of the others would soon find itself the majority of the members that it still
// knows. So a new list of members counts only once a majority of the earlier one was peerStatus as well, or after a
// grace that is longer than most partitions.
void FleetPeers::updateSettledMembers(Instant now)
{
    const bool overlaps = m_settledMembers.empty() || receivesFromMajority(m_settledMembers, now);
    if ((overlaps && receivesFromMajority(m_members, now)) || now - m_unsettledSince >= m_settings.partitionGrace) {
        m_settledMembers = m_members;
        m_unsettledSince = now;
    }
}

bool FleetPeers::receivesFromMajority(const std::vector<VmName> &members, Instant now) const
{
    std::size_t peerStatus = 0;
    for (const VmName &member : members) {
        const bool fresh = std::any_of(m_peers.begin(), m_peers.end(), [&](const FleetPeer &peer) {
            return peer.vm == member && peer.incarnation != 0 && peer.lastReceived + m_settings.lease > now;
        });
        peerStatus += fresh || member == m_settings.self ? 1 : 0;
    }
    return isMajority(peerStatus, members.size());
}

bool FleetPeers::linked(const FleetPeer &peer, Instant now) const
{
    return peer.acknowledged > 0 && peer.acknowledgedSentAt + m_settings.lease > now
           && peer.lastReceived + m_settings.lease > now;
}

// Each VM has one voice, that of its newest process: a predecessor that was only paused must not make up a majority
// together with its own successor.
bool FleetPeers::isNewestProcessOf(const FleetPeer &peer, const VmName &vm) const
{
    return peer.vm == vm && std::none_of(m_peers.begin(), m_peers.end(), [&peer](const FleetPeer &other) {
               return other.vm == peer.vm && other.known > peer.known;
           });
}

void FleetPeers::trustLinked(Instant now)
{
    for (FleetPeer &peer : m_peers) {
        peer.trusted = peer.trusted || linked(peer, now);
    }
}

std::size_t FleetPeers::linkedMembers(const std::vector<VmName> &members, Instant now) const
{
    std::size_t count = contains(members, m_settings.self) ? 1 : 0;
    for (const VmName &member : members) {
        const bool isLinked =
            member != m_settings.self && std::any_of(m_peers.begin(), m_peers.end(), [&](const FleetPeer &peer) {
                return peer.trusted && linked(peer, now) && isNewestProcessOf(peer, member);
            });
        count += isLinked ? 1 : 0;
    }
    return count;
}

bool FleetPeers::connected(Instant now) const
{
    const bool settled = m_settledMembers.empty() || receivesFromMajority(m_settledMembers, now);
    return settled && isMember(m_settings.self) && isMajority(linkedMembers(m_members, now), m_members.size());
}

Instant FleetPeers::connectedUntil() const
{
    if (m_members.size() <= 1) {
        return Instant::max();
    }
    std::vector<Instant> ends;
    for (const FleetPeer &peer : m_peers) {
        if (peer.trusted && peer.acknowledged > 0 && isMember(peer.vm)) {
            ends.push_back(std::min(peer.acknowledgedSentAt, peer.lastReceived) + m_settings.lease);
        }
    }
    const std::size_t needed = m_members.size() / 2; // besides ourselves
    if (ends.size() < needed) {
        return Instant {};
    }
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[needed - 1];
}

bool FleetPeers::claimsReleased(const FleetPeer &peer, Instant now) const
{
    if (peer.last.leaving) {
        return true;
    }
    if (!peer.unresponsive) {
        return false;
    }
    const auto confirms = [&](const FleetPeer &other, const VmName &member) {
        const auto &entries = other.last.peerStatus;
        return linked(other, now) && isNewestProcessOf(other, member)
               && std::any_of(entries.begin(), entries.end(), [&peer](const PeerStatus &entry) {
                      return entry.vm == peer.vm && entry.incarnation == peer.incarnation && entry.unresponsive;
                  });
    };
    std::size_t confirmations = isMember(m_settings.self) ? 1 : 0;
    for (const VmName &member : m_members) {
        const bool confirmed =
            member != m_settings.self && std::any_of(m_peers.begin(), m_peers.end(), [&](const FleetPeer &other) {
                return confirms(other, member);
            });
        confirmations += confirmed ? 1 : 0;
    }
    return isMajority(confirmations, m_members.size());
}

// A process that has just started doesn't know of claims whose holders it can't hear, such as its own predecessor's.
bool FleetPeers::hasUnknownClaims(Instant now) const
{
    const auto known = [this](const PeerStatus &entry) {
        const bool self = entry.vm == m_settings.self && entry.incarnation == m_settings.incarnation;
        return self || std::any_of(m_peers.begin(), m_peers.end(), [&entry](const FleetPeer &peer) {
                   return peer.vm == entry.vm && peer.incarnation == entry.incarnation;
               });
    };
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const FleetPeer &peer) {
        const auto &entries = peer.last.peerStatus;
        return linked(peer, now) && !std::all_of(entries.begin(), entries.end(), [&](const PeerStatus &entry) {
                   return entry.unresponsive || entry.incarnation == 0 || known(entry);
               });
    });
}

std::uint64_t FleetPeers::acknowledgedByAll(Instant now) const
{
    if (hasUnknownClaims(now)) {
        return 0;
    }
    std::uint64_t sequence = std::numeric_limits<std::uint64_t>::max();
    for (const FleetPeer &peer : m_peers) {
        if (claimsReleased(peer, now)) {
            continue;
        }
        if (!linked(peer, now) || peer.last.membersDigest != m_membersDigest) {
            return 0;
        }
        sequence = std::min(sequence, peer.acknowledged);
    }
    return sequence;
}

bool FleetPeers::evenPartIsFree(Instant now) const
{
    constexpr double Tolerance = 1e-9;
    double claimed = 1.0 / std::max(memberCount(), 1U);
    for (const FleetPeer &peer : m_peers) {
        if (peer.last.claimsEvenParts && !claimsReleased(peer, now)) {
            claimed += 1.0 / std::max(peer.last.memberCount, 1U);
        }
    }
    return claimed <= 1 + Tolerance;
}

bool FleetPeers::reachablePeersAcknowledged(std::uint64_t sequence, Instant now) const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const FleetPeer &peer) {
        const bool fresh = peer.incarnation != 0 && peer.lastReceived + m_settings.lease > now;
        return !fresh || peer.last.leaving || peer.acknowledged >= sequence;
    });
}

bool FleetPeers::markedUnresponsiveByPeer(Instant now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const FleetPeer &peer) {
        const auto &entries = peer.last.peerStatus;
        const bool fresh = peer.lastReceived + m_settings.lease > now;
        return fresh && std::any_of(entries.begin(), entries.end(), [this](const PeerStatus &entry) {
                   const bool own = entry.vm == m_settings.self && entry.incarnation == m_settings.incarnation;
                   return own && entry.unresponsive && !m_sent.empty() && entry.sequence >= m_sent.front().first;
               });
    });
}

std::vector<PeerStatus> FleetPeers::peerStatus(Instant now) const
{
    // Who receivesFromMajority no majority of the members that it was last sure of acknowledges nothing: the part of
    // the fleet that it sees may be the smaller one.
    const bool mayAcknowledge = m_settledMembers.empty() || receivesFromMajority(m_settledMembers, now);
    std::vector<PeerStatus> entries;
    for (const FleetPeer &peer : m_peers) {
        if (peer.last.leaving) {
            continue;
        }
        const bool shown = peer.unresponsive || mayAcknowledge;
        entries.push_back({ peer.vm, peer.incarnation, shown ? peer.receivedSequence : 0, peer.unresponsive });
    }
    return entries;
}

} // namespace mulberryplank::internal
