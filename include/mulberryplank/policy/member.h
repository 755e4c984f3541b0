#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mulberryplank/base/name.h"
#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// Random per process: a restarted process is never mistaken for the one before it.
using Incarnation = std::uint64_t;

// An IP number and a port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

// Returns "host:port".
std::string toString(const Endpoint &endpoint);

// Returns the endpoint that `text` ("host:port") names, or nothing when it has no port from 1 to 65535. Any host will
// do.
std::optional<Endpoint> endpointFromString(std::string_view text);

enum class MemberStatus : std::uint8_t {
    Alive,
    Suspect,
    Leaving, // still serves; no longer named to callers
    Dead,
};

std::string_view toString(MemberStatus status);

// What a member says of itself and the fleet knows of it.
struct Member {
    VmName vm;
    Incarnation incarnation = 0;
    Endpoint peer; // UDP and TCP
    Endpoint caller; // HTTP for callers
    FailureDomain failureDomain;
    MemberStatus status = MemberStatus::Alive;
    Offset applied = 0; // ConfigTable::nextOffset() as last heard
    bool ready = false; // has a configuration and serves
    std::uint32_t capacity = 1'000; // of its processor, in thousandths of a core

    bool operator==(const Member &) const = default;
};

} // namespace mulberryplank
