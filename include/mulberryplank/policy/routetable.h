#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/clientaccounts.h"

namespace mulberryplank
{

// Whether a request may be repeated when its outcome is unknown.
enum class RouteKind : std::uint8_t {
    Idempotent, // may be executed more than once
    NonIdempotent, // must be executed at most once
    LargeResponse, // idempotent, with responses so large that their transfer time over the network matters
};

std::string_view toString(RouteKind kind);

// Returns true if a request of this kind may be executed more than once.
constexpr bool isIdempotent(RouteKind kind)
{
    return kind != RouteKind::NonIdempotent;
}

// One of the services among which a route's requests are divided.
struct WeightedService {
    ServiceName service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

// One route of a virtual host.
struct HostRoute {
    std::string name;
    std::string pathPrefix; // begins and ends with a slash
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout {}; // the maximum time that a request may take
    Duration targetLatency {}; // the latency within which a response is worth most
    std::uint32_t priority = 0; // 0 is the highest
    std::uint32_t maxAttempts = 1; // maximum number of targets that one request may be sent to
    bool isPublic = false; // callers need no key
    std::vector<WeightedService> services; // at least one

    bool operator==(const HostRoute &) const = default;
};

// Limits on what callers may send and how long they may take.
struct RequestLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 64ULL << 20;
    Duration headerTimeout = Seconds(3);
    Duration idleTimeout = Seconds(15);

    bool operator==(const RequestLimits &) const = default;
};

// A service as the configuration describes it. Its targets register themselves.
struct RoutedService {
    ServiceName name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; // to one target, for all callers together

    bool operator==(const RoutedService &) const = default;
};

// One complete version of the configuration. Immutable once built, and shared by all its users.
struct RouteTable {
    std::uint64_t version = 0; // increases with every change
    std::map<std::string, std::vector<HostRoute>, std::less<>> hosts;
    std::vector<RoutedService> services;
    RequestLimits limits;
    std::optional<ClientAccounts> accounts; // empty: this configuration has no accounts, and callers need no key

    // Returns the route with the longest prefix of `path`, or nullptr. `path` may contain a query, which is ignored, as
    // are the case of `host` and a port in it. The route is valid as long as the table.
    const HostRoute *find(std::string_view host, std::string_view path) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace mulberryplank
