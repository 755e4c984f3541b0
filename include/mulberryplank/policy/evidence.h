#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// One process among the proxies that carry a service.
struct PeerId {
    VmName vm;
    Incarnation incarnation = 0;

    auto operator<=>(const PeerId &) const = default;
};

// A PeerId in 64 bits, as reports name it.
using PeerKey = std::uint64_t;

// Returns the key of `peer`: the same in every process.
PeerKey peerKey(const PeerId &peer);

// A target's name in 64 bits, as reports name it.
using TargetId = std::uint64_t;

// Returns the id of the target called `name`: the same in every process.
TargetId targetId(const TargetName &name);

// What one proxy has seen of one target lately.
struct TargetEvidence {
    TargetId target = 0;
    float suspicion = 0; // log likelihood ratio of sick against healthy, 0 and up
    std::uint16_t attempts = 0; // finished in about the last second, capped

    bool operator==(const TargetEvidence &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(target, suspicion, attempts);
    }
};

// Says that a peer's report with this number arrived.
struct ReportAck {
    PeerKey peer = 0;
    std::uint32_t sequence = 0;

    bool operator==(const ReportAck &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(peer, sequence);
    }
};

// What one proxy tells the other proxies that carry the same service. Its size grows with the service's targets and
// the proxies that carry it, never with the fleet.
struct EvidenceReport {
    std::uint32_t sequence = 0; // counts the reports of one process; 1 is the first
    std::vector<TargetEvidence> evidence; // targets without evidence are left out
    std::vector<TargetId> claimed; // targets that the sender has ejected or wants to eject
    std::vector<TargetId> unavailable; // targets that are leaving or cold in the sender's view
    std::vector<ReportAck> acks; // the newest report of each peer that the sender has heard lately

    bool operator==(const EvidenceReport &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, evidence, claimed, unavailable, acks);
    }
};

// What all proxies together have seen of one target.
struct JointView {
    double suspicion = 0; // sum over the proxies, each one's part less its noise and limited
    double largest = 0; // the largest part of one proxy in it
    std::size_t supporters = 0; // proxies that suspect it
    std::size_t observers = 0; // proxies that have sent it requests lately
};

// Keeps the newest evidence of each peer and adds it up. Not synchronized.
class JointEvidence
{
public:
    // A peer's evidence counts for `lifetime` after its report came.
    explicit JointEvidence(Duration lifetime);

    // Forgets the evidence of all peers but these.
    void setPeers(const std::vector<PeerKey> &peers);

    // Replaces the peer's evidence. Peers that setPeers() didn't name are ignored.
    void receive(PeerKey peer, const std::vector<TargetEvidence> &evidence, Instant now);

    // Returns true if the peer's newest report says that it sends the target requests and finds it well.
    bool reportsHealthy(PeerKey peer, TargetId target, Instant now) const;

    // Returns what this process (`own`) and the peers have seen of a target. No proxy's part of the sum exceeds
    // `maxPerProxy`; a proxy whose part is at least `minSupport` is a supporter.
    JointView view(const TargetEvidence &own, double maxPerProxy, double minSupport, Instant now) const;

private:
    struct PeerEvidence {
        Instant receivedAt {};
        std::unordered_map<TargetId, TargetEvidence> byTarget;
    };

    Duration m_lifetime;
    std::map<PeerKey, PeerEvidence> m_peers;
};

// The most entries that a list in a report may have. Reports beyond it are dropped whole.
inline constexpr std::size_t MaxReportEntries = 4'096;

} // namespace mulberryplank
