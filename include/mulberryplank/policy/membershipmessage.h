#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Orders updates about one incarnation. Only the member itself increments its counter: to refute a suspicion, to leave,
// or when its readiness changes.
using StateCounter = std::uint32_t;

// The properties that never change while a process runs. Shared, since thousands of updates refer to the same member.
struct MemberDescription {
    VmName vm;
    Endpoint peer;
    Endpoint caller;
    FailureDomain failureDomain;
    std::uint32_t capacity = 1'000; // as Member::capacity
};

// The state of a member as reported by another member or by itself.
struct MemberUpdate {
    Incarnation incarnation = 0;
    MemberStatus status = MemberStatus::Alive;
    StateCounter counter = 0;
    Offset applied = 0; // never decreases, regardless of the counter
    bool ready = false;
    std::shared_ptr<const MemberDescription> description; // in updates about members that the receiver may not know
};

// Returns an upper bound of the encoded size of `update` in bytes.
std::size_t encodedSizeBound(const MemberUpdate &update);

// The response to a member that has sent the list of the members it knows.
struct MemberExchange {
    std::vector<MemberUpdate>
        updates; // the members that differ or are missing in that list; of the missing ones possibly only some
    std::uint32_t liveCount = 0; // of the members that the responding process knows
};

enum class MembershipKind : std::uint8_t {
    Probe = 1, // requires an immediate response
    ProbeResponse,
    IndirectProbe, // requests that the receiver probe `subject` for the sender
    IndirectResponse, // `subject` responded to the receiver's indirect probe
    AddressReassigned, // the sender has replaced `subject` at this address
    Gossip, // only carries updates
};

struct MembershipMessage {
    MembershipKind kind = MembershipKind::Gossip;
    std::uint64_t number = 0; // of the probe; its response has the same
    Incarnation subject = 0; // the member that is probed
    Endpoint subjectPeer; // IndirectProbe: the address at which the subject listens
    Incarnation origin = 0; // the member on whose behalf the subject is probed
    bool receivedFromOrigin = false; // responses: the subject has received a message from the origin recently
    MemberUpdate sender;
    std::uint32_t liveCount = 0; // of the members that the sender knows
    std::vector<MemberUpdate> updates;
};

struct OutgoingMessage {
    Endpoint to;
    MembershipMessage message;
};

} // namespace mulberryplank
