#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/member.h"
#include "mulberryplank/policy/seqwindow.h"

namespace mulberryplank
{

// The kind of a message between proxies. Payloads are encoded with cereal by the component that owns the kind. A
// payload whose layout changes gets a new number, so that proxies of different versions reject it instead of misreading
// it.
enum class PeerKind : std::uint8_t {
    ConfigPush = 2,
    ConfigPull = 3,
    Evidence = 4,
    Demand = 5,
    AtMostOnceForward = 6,
    StatusQuery = 7,
    AttemptReports = 9,
    BudgetRequest = 11,
    BudgetLoan = 12,
    UpdateAvailable = 14,
    Membership = 15,
    UpdateQuery = 16,
    Crashes = 17,
    QuarantinedRequests = 18,
    RateLimits = 19,
    Tunnel = 20,
    AllowanceQuery = 21,
    AllowanceLoan = 22,
    KnowledgeQuery = 23,
    Knowledge = 24,
    TargetNotices = 25,
    DomainLoad = 26,
    FramedTunnel = 27,
};

// The channel of a message. It is covered by the signature, so that a message captured on one channel can't be replayed
// on another.
enum class PeerChannel : std::uint8_t {
    Datagram = 1,
    Call = 2,
    Response = 3,
};

// One message between proxies.
struct PeerEnvelope {
    PeerChannel channel = PeerChannel::Datagram;
    PeerKind kind = PeerKind::Membership;
    VmName vm; // the sender's
    Incarnation incarnation = 0; // the sender's
    Endpoint from; // where the sender listens
    Sequence sequence = 0; // counts the sender's datagrams; 0 on the other channels
    std::string destination; // the receiver, or the call that the message belongs to
    std::string payload;
};

inline constexpr std::size_t MacSize = 32; // HMAC-SHA256

// Returns the maximum size of a sealed envelope with a payload of `payloadSize` bytes and names of the usual lengths
// (up to 64 bytes each).
constexpr std::size_t sealedSizeBound(std::size_t payloadSize)
{
    constexpr std::size_t FieldsAndNames = 320;
    return FieldsAndNames + MacSize + payloadSize;
}

// Encodes an envelope and signs it with `key`.
std::string seal(const PeerEnvelope &envelope, std::string_view key);

// Verifies an envelope against each of `keys` and decodes it. Nothing is decoded before the signature is verified, so
// that bytes from an unauthenticated sender never reach the decoder. Errors: PeerUntrusted for a bad signature,
// BadRequest for signed bytes of another version.
Result<PeerEnvelope> unseal(std::string_view bytes, const std::vector<std::string> &keys);

// Size and digest of a payload. The summary is signed instead of the payload when the payload follows it on a
// connection.
struct PayloadSummary {
    std::uint64_t size = 0;
    std::array<std::uint8_t, 32> digest {}; // SHA-256
    bool failed = false; // the payload is an error message
    std::string errorName; // kind of the error, if failed
};

// Summarise a payload and compare a payload with a summary.
PayloadSummary summarise(std::string_view payload);
bool matches(const PayloadSummary &summary, std::string_view payload);

std::string encode(const PayloadSummary &summary);
Result<PayloadSummary> decodePayloadSummary(std::string_view bytes);

} // namespace mulberryplank
