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

// Returns how many of `targets` must stay in service despite ejections.
std::size_t floorOf(std::size_t targets, double share, std::uint32_t count);

struct EjectionClaimsSettings {
    Duration lease = Millis { 2'000 }; // how long an ejection lasts without confirmation by the peers
    Duration expiry = Millis { 5'000 }; // no report for this long ends a peer's ejections; more than two leases
    Duration retention = Millis { 15'000 }; // how long a peer still counts after setPeers() removed it
};

// Limits the combined ejections of several proxies to one floor. Needs no coordinator and tolerates any loss, delay or
// one-way cut of their reports.
//
// A proxy announces a claim on a target in its reports. The claim takes effect after every peer has confirmed a report
// that contained it, and only if the floor stays in service without all targets that any proxy claims or reports as
// unavailable. A proxy counts a claim from the moment it confirms it. So of any set of claims in effect, the one
// announced last was checked against all others. A claim lasts for a lease after the newest report that every peer has
// confirmed, and then has no effect. A peer counts as stopped only when neither this process nor any other peer has
// received a report from it for more than two leases, and when the remaining proxies are a majority. The claims of that
// peer have expired before then.
//
// The floor is guaranteed while the proxies' views of the service's assigned proxies differ by one proxy at most.
// docs/pages/health.md describes what happens beyond that. Thread-compatible.
class EjectionClaims
{
public:
    // The severity of a target's fault. Targets with a larger value are ejected first.
    using FaultSeverity = std::function<double(TargetId)>;

    EjectionClaims(PeerKey self, EjectionClaimsSettings settings);

    // Sets the other proxies that are assigned the service.
    void setPeers(const std::vector<PeerKey> &peers, Instant now);

    // Processes a peer's report. Returns false if the report must be ignored.
    bool receive(PeerKey peer, const EvidenceReport &report, Instant now);

    // Sets the sequence, claims, unavailable targets and confirmations of the next report, which is sent at `now`.
    void fill(EvidenceReport &report, Instant now);

    // Claims a target. Does nothing if it is already claimed.
    void claim(TargetId target, Instant now);

    // Withdraws a claim.
    void release(TargetId target);

    // Returns true while this process may eject the target.
    bool isInEffect(TargetId target) const;

    // Returns true if this process claims the target, whether or not the claim is in effect.
    bool claims(TargetId target) const;

    // Returns how many other responsive proxies claim the target.
    std::size_t countOtherClaims(TargetId target, Instant now) const;

    // Returns true if this peer claims the target and has sent a report recently.
    bool claimedBy(PeerKey peer, TargetId target, Instant now) const;

    // Sets the targets that this process sees as leaving or cold.
    void setUnavailable(std::vector<TargetId> targets);

    // Puts claims into effect, ends those whose lease has expired and withdraws those that the floor doesn't allow, the
    // least severe first. `known` are the service's targets and `floor` is how many of them must stay in service.
    // Returns the withdrawn claims.
    std::vector<TargetId> tick(const std::vector<TargetId> &known,
                               std::size_t floor,
                               const FaultSeverity &faultSeverity,
                               Instant now);

    // Returns how many of `known` any proxy counts as out of service, including the targets that this process claims.
    std::size_t outOfService(const std::vector<TargetId> &known, Instant now) const;

    // Returns true while a claim of this process hasn't been announced or a peer's claim hasn't been confirmed. The
    // next report should then be sent soon.
    bool needsReport() const;

    // Returns true if every peer that hasn't stopped has confirmed a report within the lease.
    bool hasLease(Instant now) const;

private:
    struct Peer {
        Instant addedAt {};
        Instant lastReportAt {};
        Instant removedAt {}; // when setPeers() removed it
        bool listed = true;
        std::uint32_t newest = 0; // sequence number of the newest report received
        std::uint32_t confirmed = 0; // newest sequence number of this process that the peer has confirmed
        std::vector<TargetId> claimed;
        std::vector<TargetId> unavailable;
        std::set<PeerKey> receivesFrom;
    };

    struct Claim {
        Instant madeAt {};
        std::uint32_t announced = 0; // sequence number of the first report that contained it; 0 if there is none
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
    bool m_hasUnconfirmedPeerClaims = false; // whether a peer's claim awaits confirmation
    std::deque<SentReport> m_sent; // within the lease
};

} // namespace mulberryplank
