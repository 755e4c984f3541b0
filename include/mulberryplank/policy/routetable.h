#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// What may be done again with a request when its outcome is unknown.
enum class RouteKind : std::uint8_t {
    Idempotent, // may run more than once
    NonIdempotent, // may run at most once
    LargeResponse, // idempotent, and the answer is large enough for its way through the network to matter
};

std::string_view toString(RouteKind kind);

// Returns true if a request of this kind may run more than once.
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
    Duration timeout {}; // the longest that a request may be kept waiting
    Duration targetLatency {}; // within which an answer is worth most
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t maxAttempts = 1; // targets that one request may be sent to
    std::vector<WeightedService> services; // at least one

    bool operator==(const HostRoute &) const = default;
};

// What callers may send and how long they may take for it.
struct RequestLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 64ULL << 20;
    Duration headerTimeout = Seconds(3);
    Duration idleTimeout = Seconds(15);

    bool operator==(const RequestLimits &) const = default;
};

// A service as the configuration describes it. Its targets announce themselves.
struct RoutedService {
    ServiceName name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; // to one target, over all callers

    bool operator==(const RoutedService &) const = default;
};

// One version of the configuration, complete. Immutable once built, and shared by everything that works by it.
struct RouteTable {
    std::uint64_t version = 0; // grows with every change
    std::map<std::string, std::vector<HostRoute>, std::less<>> hosts;
    std::vector<RoutedService> services;
    RequestLimits limits;

    // Returns the route with the longest prefix that `path` (a query may follow) begins with, or nullptr. The case of
    // `host` and a port behind it don't matter. The route lives as long as the table.
    const HostRoute *find(std::string_view host, std::string_view path) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace mulberryplank
