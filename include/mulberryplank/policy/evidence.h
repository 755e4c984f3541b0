#pragma once

#include <cstdint>
#include <vector>

#include "mulberryplank/base/name.h"
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
    std::uint16_t attempts = 0; // finished in the last seconds, capped
    std::uint16_t ageMillis = 0; // since the last attempt that counts here, capped

    bool operator==(const TargetEvidence &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(target, suspicion, attempts, ageMillis);
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
    std::vector<ReportAck> acks; // the newest report of each peer that the sender has received
    std::vector<PeerKey> silent; // peers that the sender hasn't heard for longer than their claims can last

    bool operator==(const EvidenceReport &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, evidence, claimed, unavailable, acks, silent);
    }
};

// The most entries that a list in a report may have. Reports beyond it are dropped whole.
inline constexpr std::size_t MaxReportEntries = 4'096;

} // namespace mulberryplank
