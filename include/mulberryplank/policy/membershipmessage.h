#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Orders what is said of one incarnation. Only the member itself raises its counter: to refute an accusation, to leave,
// or when it becomes ready or stops being so.
using StateCounter = std::uint32_t;

// What never changes within one process run. Shared, since thousands of updates speak of the same member.
struct MemberDescription {
    VmName vm;
    Endpoint peer;
    Endpoint caller;
    FailureDomain failureDomain;
    std::uint32_t capacity = 1'000; // Member::capacity
};

// What one member says of another, or of itself.
struct MemberUpdate {
    Incarnation incarnation = 0;
    MemberStatus status = MemberStatus::Alive;
    StateCounter counter = 0;
    Offset applied = 0; // only ever rises, whatever the counter
    bool ready = false;
    std::shared_ptr<const MemberDescription> description; // in news of members that the receiver may not know
};

// Returns the most bytes that `update` takes when encoded.
std::size_t encodedSizeBound(const MemberUpdate &update);

// What one member answers to another that tells it which members it knows.
struct MemberExchange {
    std::vector<MemberUpdate> updates; // what differs or is missing there, of the latter perhaps only a part
    std::uint32_t liveCount = 0; // of the members that the one who answers knows
};

enum class MembershipKind : std::uint8_t {
    Probe = 1, // to be answered at once
    ProbeResponse,
    IndirectProbe, // asks the receiver to probe `subject` for the sender
    IndirectResponse, // `subject` answered the receiver's indirect probe
    AddressReassigned, // `subject` doesn't run at this address any more; the sender does
    Gossip, // only carries updates
};

struct MembershipMessage {
    MembershipKind kind = MembershipKind::Gossip;
    std::uint64_t number = 0; // of the probe; its answer bears the same
    Incarnation subject = 0; // who is probed
    Endpoint subjectPeer; // IndirectProbe: where the subject listens
    Incarnation origin = 0; // on whose behalf the subject is probed
    bool receivedFromOrigin = false; // answers: the subject has heard from the origin recently
    MemberUpdate sender;
    std::uint32_t liveCount = 0; // of the members that the sender knows
    std::vector<MemberUpdate> updates;
};

struct OutgoingMessage {
    Endpoint to;
    MembershipMessage message;
};

} // namespace mulberryplank
