#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mulberryplank/base/name.h"
#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// Random per process, so that a restarted process is never mistaken for its predecessor.
using Incarnation = std::uint64_t;

// An IP address and a port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

// Returns "host:port".
std::string toString(const Endpoint &endpoint);

// Parses `text` ("host:port"). Returns nothing if it has no port from 1 to 65535. Accepts any host.
std::optional<Endpoint> endpointFromString(std::string_view text);

enum class MemberStatus : std::uint8_t {
    Alive,
    Suspect,
    Leaving, // still serves; callers are no longer directed to it
    Dead,
};

std::string_view toString(MemberStatus status);

// What a member reports of itself, and its status as seen by the fleet.
struct Member {
    VmName vm;
    Incarnation incarnation = 0;
    Endpoint peer; // UDP and TCP
    Endpoint caller; // HTTP for callers
    FailureDomain failureDomain;
    MemberStatus status = MemberStatus::Alive;
    Offset applied = 0; // ConfigTable::nextOffset() as last received
    bool ready = false; // has a configuration and serves
    std::uint32_t capacity = 1'000; // CPU capacity in thousandths of a core

    bool operator==(const Member &) const = default;
};

} // namespace mulberryplank
