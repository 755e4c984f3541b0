#pragma once

#include <deque>
#include <list>
#include <unordered_map>

#include "mulberryplank/policy/fleetshares.h"

namespace mulberryplank::internal
{

// What is known of one incarnation of another member.
struct FleetPeer {
    VmName vm;
    Incarnation incarnation = 0; // 0: a member that was never peerStatus from
    Instant known {}; // since when
    Instant lastReceived {};
    std::uint64_t receivedSequence = 0;
    std::uint64_t acknowledged = 0; // the last of our reports that it acknowledged
    Instant acknowledgedSentAt {}; // when we sent that one
    bool unresponsive = false; // declared so by us
    bool trusted = false; // its acknowledgements keep our claims alive
    DemandReport last; // without its accounts
    std::unordered_map<std::string, AccountReport> accounts; // also after a report that left them out

    // Returns the claim of an account, given the pool of one of its limits.
    double claimed(const AccountName &account, std::size_t kind, double pool, std::uint32_t ownCount) const;

    // Returns true if it holds or claims anything at all.
    bool claimsAnything() const;
};

// Returns the part of a pool that each of `members` has as long as nobody asks for more. Whole numbers for the limits
// that count requests.
double evenPart(std::size_t kind, double pool, std::uint32_t members);

// Who carries the service, who of them can be peerStatus, and whose claims still count. Keeps time by the local clock
// only.
class FleetPeers
{
public:
    explicit FleetPeers(const FleetSharesSettings &settings, Instant now);

    void setMembers(std::vector<VmName> members, Instant now);
    void recordSent(std::uint64_t sequence, Instant now);

    // Takes in a report and returns its sender, or nullptr if the report is older than what is known.
    const FleetPeer *merge(const VmName &from, Incarnation incarnation, const DemandReport &report, Instant now);

    // Declares those unresponsive that were not peerStatus from for too long, and forgets those long given up.
    void markUnresponsive(Instant now);

    // Lets acknowledgements of all peers that acknowledge us now keep our claims alive.
    void trustLinked(Instant now);

    // Returns true if this member is linked with enough others to hold claims.
    bool connected(Instant now) const;

    // Returns when connected() ends unless acknowledgements arrive.
    Instant connectedUntil() const;

    // Returns the last of our reports that every peer whose claims count has acknowledged; 0 if there is none, if one
    // of them is not linked or takes other members for those that carry the service, or if others know of claims that
    // we don't know of.
    std::uint64_t acknowledgedByAll(Instant now) const;

    // Returns true if our even part and those that others claim make up no more than a whole. They make up more while
    // the predecessor of a process that was replaced may still be alive.
    bool evenPartIsFree(Instant now) const;

    // Returns true if a peer that receivesFromMajority us now has declared us unresponsive: it waits for us to give up
    // our claims.
    bool markedUnresponsiveByPeer(Instant now) const;

    // Returns true if this peer's claims no longer count.
    bool claimsReleased(const FleetPeer &peer, Instant now) const;

    // Returns true if the peers that are peerStatus have all acknowledged `sequence`.
    bool reachablePeersAcknowledged(std::uint64_t sequence, Instant now) const;

    // Returns what we peerStatus, for our report.
    std::vector<PeerStatus> peerStatus(Instant now) const;

    const std::list<FleetPeer> &peers() const
    {
        return m_peers;
    }

    bool isMember(const VmName &vm) const;

    std::uint32_t memberCount() const
    {
        return static_cast<std::uint32_t>(m_members.size());
    }

    std::uint64_t membersDigest() const
    {
        return m_membersDigest;
    }

private:
    FleetPeer *find(const VmName &vm, Incarnation incarnation);
    bool linked(const FleetPeer &peer, Instant now) const;
    bool isNewestProcessOf(const FleetPeer &peer, const VmName &vm) const;
    bool receivesFromMajority(const std::vector<VmName> &members, Instant now) const;
    std::size_t linkedMembers(const std::vector<VmName> &members, Instant now) const;
    void readAcknowledgement(FleetPeer &peer);
    void updateSettledMembers(Instant now);
    bool hasUnknownClaims(Instant now) const;

    FleetSharesSettings m_settings;
    std::vector<VmName> m_members; // sorted
    std::vector<VmName> m_settledMembers; // the last ones of which a majority was peerStatus
    Instant m_unsettledSince {};
    std::uint64_t m_membersDigest = 0;
    std::list<FleetPeer> m_peers;
    std::deque<std::pair<std::uint64_t, Instant>> m_sent; // within the last lease
};

} // namespace mulberryplank::internal
