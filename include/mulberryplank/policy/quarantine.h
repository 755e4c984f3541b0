#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/requestfingerprint.h"

namespace mulberryplank
{

// A request that isn't sent to any target for some time.
struct QuarantinedRequest {
    RequestFingerprint request {};
    Duration left {}; // until it may be sent again
};

// The requests that are refused because they crash their targets. Thread-compatible.
class Quarantine
{
public:
    // `capacity`: the number of requests that are kept; beyond it the one whose time ends first is dropped.
    explicit Quarantine(std::size_t capacity);

    // Adds a request. Returns false if it is there already; then its time stays as it is, so that processes which
    // exchange their entries don't prolong them without end.
    bool add(const QuarantinedRequest &entry, Instant now);

    // Returns how long the request is refused still, or nothing if it isn't.
    std::optional<Duration> left(RequestFingerprint request, Instant now) const;

    // Removes the requests whose time has ended and returns them.
    std::vector<RequestFingerprint> expire(Instant now);

    // Returns all requests.
    std::vector<QuarantinedRequest> entries(Instant now) const;

private:
    void makeRoom();

    const std::size_t m_capacity;
    std::unordered_map<RequestFingerprint, Instant> m_until;
};

} // namespace mulberryplank
