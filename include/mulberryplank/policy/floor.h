#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/evidence.h"

namespace mulberryplank
{

// Returns how many of `targets` ejection must leave in service.
std::size_t floorOf(std::size_t targets, double share, std::uint32_t count);

struct EjectionClaimsSettings {
    Duration lease = Millis { 2'000 }; // how long an ejection lasts without being confirmed by the peers
    Duration expiry = Millis { 5'000 }; // silence after which a peer isInEffect no ejection; more than two leases
    Duration retention = Millis { 15'000 }; // how long a peer that is no longer listed still counts
};

// Keeps the ejections of several proxies together within one floor, without a coordinator and with any loss, delay or
// one-way cut of their reports.
//
// A proxy announces a claim on a target in its reports. The claim takes effect once every peer has confirmed a report
// that carried it, and only if all targets that any of them claims or calls unavailable leave the floor in service.
// Whoever confirms a claim counts it from then on; so of any set of claims in effect, the one announced last was
// checked against all others. A claim lasts for a lease after the newest report that every peer has confirmed; then it
// is as if never made. A peer counts as gone only when it has been silent for more than two leases here and at every
// other peer, and when the rest is a majority: by then its own claims have lapsed.
//
// Holds while the proxies' views of who carries the service differ by one proxy at most; docs/pages/health.md names
// what happens beyond that. Not synchronized.
class EjectionClaims
{
public:
    // How bad a target is; the larger, the sooner it is ejected.
    using FaultSeverity = std::function<double(TargetId)>;

    EjectionClaims(PeerKey self, EjectionClaimsSettings settings);

    // Sets the other proxies that carry the service.
    void setPeers(const std::vector<PeerKey> &peers, Instant now);

    // Takes in a peer's report; returns false if it is to be ignored.
    bool receive(PeerKey peer, const EvidenceReport &report, Instant now);

    // Fills in sequence, claims, unavailable targets and confirmations of the next report, which is sent now.
    void fill(EvidenceReport &report, Instant now);

    // Claims a target. Does nothing if it is claimed already.
    void claim(TargetId target, Instant now);

    // Gives a claim up.
    void release(TargetId target);

    // Returns true while the target may be ejected here.
    bool isInEffect(TargetId target) const;

    // Returns true if the target is claimed, in effect or not.
    bool claims(TargetId target) const;

    // Returns how many of the other proxies that are heard claim the target.
    std::size_t countOtherClaims(TargetId target, Instant now) const;

    // Returns true if this peer claims the target and has been heard lately.
    bool claimedBy(PeerKey peer, TargetId target, Instant now) const;

    // Sets the targets that this process sees as leaving or cold.
    void setUnavailable(std::vector<TargetId> targets);

    // Brings claims into effect, ends those whose lease ran out and gives up those that the floor doesn't allow, least
    // bad first. `known` are the service's targets and `floor` how many of them must stay. Returns the claims given up.
    std::vector<TargetId> tick(const std::vector<TargetId> &known,
                               std::size_t floor,
                               const FaultSeverity &faultSeverity,
                               Instant now);

    // Returns how many of `known` any proxy counts as out of service, what this process claims included.
    std::size_t outOfService(const std::vector<TargetId> &known, Instant now) const;

    // Returns true while a claim of ours hasn't been announced, or a peer's hasn't been confirmed: the next report is
    // waited for.
    bool needsReport() const;

    // Returns true when every peer that isn't gone has confirmed a report within the lease.
    bool hasLease(Instant now) const;

private:
    struct Peer {
        Instant addedAt {};
        Instant lastReportAt {};
        Instant removedAt {}; // when setPeers() left it out
        bool listed = true;
        std::uint32_t newest = 0; // sequence of the newest report received
        std::uint32_t confirmed = 0; // our sequence that the peer has confirmed
        std::vector<TargetId> claimed;
        std::vector<TargetId> unavailable;
        std::set<PeerKey> receivesFrom;
    };

    struct Claim {
        Instant madeAt {};
        std::uint32_t announced = 0; // sequence of the first report that carried it; 0: none yet
        bool inEffect = false;
    };

    struct SentReport {
        std::uint32_t sequence = 0;
        Instant at {};
    };

    bool isUnresponsive(const Peer &peer, Instant now) const;
    bool isFresh(const Peer &peer, Instant now) const;
    bool isConfirmed(const Claim &claim, Instant now) const;
    std::set<TargetId> outInAnyView(Instant now) const;
    std::vector<TargetId> giveUpExcess(const std::set<TargetId> &out,
                                       std::size_t budget,
                                       const FaultSeverity &faultSeverity,
                                       Instant now);
    std::size_t countOutranking(TargetId target,
                                const std::set<TargetId> &out,
                                const FaultSeverity &faultSeverity,
                                Instant now) const;
    void removeExpiredPeers(Instant now);

    PeerKey m_self;
    EjectionClaimsSettings m_settings;
    std::map<PeerKey, Peer> m_peers;
    std::map<TargetId, Claim> m_claims;
    std::vector<TargetId> m_unavailable;
    std::uint32_t m_sequence = 0;
    bool m_hasUnconfirmedPeerClaims = false; // a peer's claim that no report of ours has confirmed
    std::deque<SentReport> m_sent; // within the lease
};

} // namespace mulberryplank
