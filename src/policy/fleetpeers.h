#pragma once

#include <deque>
#include <list>
#include <unordered_map>

#include "mulberryplank/policy/fleetshares.h"

namespace mulberryplank::internal
{

// The known state of one incarnation of another member.
struct FleetPeer {
    VmName vm;
    Incarnation incarnation = 0; // 0: a member from which nothing was received yet
    Instant known {}; // since when it is known
    Instant lastReceived {};
    std::uint64_t receivedSequence = 0;
    std::uint64_t acknowledged = 0; // the last of this process's reports that it acknowledged
    Instant acknowledgedSentAt {}; // when that report was sent
    bool unresponsive = false; // marked so by this process
    bool trusted = false; // its acknowledgements keep the claims of this process alive
    DemandReport last; // without its accounts
    std::unordered_map<std::string, AccountReport> accounts; // kept after a report that omitted them

    // Returns the claim of an account, given the pool of one of its limits.
    double claimed(const AccountName &account, std::size_t kind, double pool, std::uint32_t ownCount) const;

    // Returns true if it holds or claims anything.
    bool claimsAnything() const;
};

// Returns the part of a pool that each of `members` has while no member has demand. A whole number for the limits that
// count requests.
double evenPart(std::size_t kind, double pool, std::uint32_t members);

// Tracks the members that are assigned the service, which of them are reachable, and whose claims still count. Uses the
// local clock only.
class FleetPeers
{
public:
    explicit FleetPeers(const FleetSharesSettings &settings, Instant now);

    void setMembers(std::vector<VmName> members, Instant now);
    void recordSent(std::uint64_t sequence, Instant now);

    // Merges a report and returns its sender, or nullptr if the report is older than the known one.
    const FleetPeer *merge(const VmName &from, Incarnation incarnation, const DemandReport &report, Instant now);

    // Marks members unresponsive from which nothing was received for too long, and removes those whose claims were
    // released long ago.
    void markUnresponsive(Instant now);

    // Lets acknowledgements of all linked peers keep the claims of this process alive from now on.
    void trustLinked(Instant now);

    // Returns true if this member is linked with enough others to hold claims.
    bool connected(Instant now) const;

    // Returns when connected() ends unless acknowledgements arrive.
    Instant connectedUntil() const;

    // Returns the last of this process's reports that every peer whose claims count has acknowledged. Returns 0 if
    // there is none, if one of these peers is not linked or has a different list of members, or if other members know
    // of claims that this process doesn't know of.
    std::uint64_t acknowledgedByAll(Instant now) const;

    // Returns true if the even parts of this process and those claimed by others add up to no more than a whole. They
    // add up to more while the predecessor of a replaced process may still be alive.
    bool evenPartIsFree(Instant now) const;

    // Returns true if a peer that currently receives reports of this process has marked it unresponsive, and so waits
    // for it to release its claims.
    bool markedUnresponsiveByPeer(Instant now) const;

    // Returns true if this peer's claims no longer count.
    bool claimsReleased(const FleetPeer &peer, Instant now) const;

    // Returns true if all reachable peers have acknowledged `sequence`.
    bool reachablePeersAcknowledged(std::uint64_t sequence, Instant now) const;

    // Returns the status of all peers, for the report.
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
    std::vector<VmName> m_settledMembers; // the last members of which a majority was reachable
    Instant m_unsettledSince {};
    std::uint64_t m_membersDigest = 0;
    std::list<FleetPeer> m_peers;
    std::deque<std::pair<std::uint64_t, Instant>> m_sent; // within the last lease
};

} // namespace mulberryplank::internal
