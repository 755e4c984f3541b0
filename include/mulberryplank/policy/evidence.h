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

// Identifies one process among the proxies that are assigned a service.
struct PeerId {
    VmName vm;
    Incarnation incarnation = 0;

    auto operator<=>(const PeerId &) const = default;
};

// A 64-bit hash of a PeerId, used in reports.
using PeerKey = std::uint64_t;

// Returns the key of `peer`, which is the same in every process.
PeerKey peerKey(const PeerId &peer);

// A 64-bit hash of a target's name, used in reports.
using TargetId = std::uint64_t;

// Returns the id of the target called `name`, which is the same in every process.
TargetId targetId(const TargetName &name);

// Recent evidence of one proxy about one target.
struct TargetEvidence {
    TargetId target = 0;
    float suspicion = 0; // log likelihood ratio of faulty against healthy, 0 or more
    std::uint16_t attempts = 0; // finished in about the last second, capped

    bool operator==(const TargetEvidence &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(target, suspicion, attempts);
    }
};

// Confirms that a peer's report with this sequence number arrived.
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

// The report of one proxy to the other proxies that are assigned the same service. Its size grows with the service's
// targets and its assigned proxies, never with the fleet.
struct EvidenceReport {
    std::uint32_t sequence = 0; // counts the reports of one process, starting at 1
    std::vector<TargetEvidence> evidence; // targets without evidence are omitted
    std::vector<TargetId> claimed; // targets that the sender has ejected or requests to eject
    std::vector<TargetId> unavailable; // targets that the sender sees as leaving or cold
    std::vector<ReportAck> acks; // of the newest report of each peer that the sender received recently

    bool operator==(const EvidenceReport &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, evidence, claimed, unavailable, acks);
    }
};

// The combined evidence of all proxies about one target.
struct JointView {
    double suspicion = 0; // sum over the proxies; noise is subtracted from each one's part, and the rest is capped
    double largest = 0; // the largest part of a single proxy
    std::size_t supporters = 0; // proxies that suspect it
    std::size_t observers = 0; // proxies that have sent it requests recently
};

// Keeps the newest evidence of each peer and combines it. Thread-compatible.
class JointEvidence
{
public:
    // A peer's evidence counts for `lifetime` after its report was received.
    explicit JointEvidence(Duration lifetime);

    // Discards the evidence of all peers that aren't in `peers`.
    void setPeers(const std::vector<PeerKey> &peers);

    // Replaces the peer's evidence. Peers that weren't passed to setPeers() are ignored.
    void receive(PeerKey peer, const std::vector<TargetEvidence> &evidence, Instant now);

    // Returns true if, according to the peer's newest report, it sends requests to the target and observes no fault.
    bool reportsHealthy(PeerKey peer, TargetId target, Instant now) const;

    // Returns the combined evidence of this process (`own`) and its peers about a target. Each proxy's part of the sum
    // is at most `maxPerProxy`. A proxy whose part is at least `minSupport` is a supporter.
    JointView view(const TargetEvidence &own, double maxPerProxy, double minSupport, Instant now) const;

private:
    struct PeerEvidence {
        Instant receivedAt {};
        std::unordered_map<TargetId, TargetEvidence> byTarget;
    };

    Duration m_lifetime;
    std::map<PeerKey, PeerEvidence> m_peers;
};

// Maximum number of entries in a list of a report. A report that exceeds it is dropped entirely.
inline constexpr std::size_t MaxReportEntries = 4'096;

} // namespace mulberryplank
