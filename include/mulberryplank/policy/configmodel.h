#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Position of a record in the platform's log. The first record has offset 0.
using Offset = std::uint64_t;

// Version of an item: the offset of the record that last set the item, plus one. 0 means that the item does not exist.
// It only increases, also when an item is removed and created again, so an edit that is based on an old state never
// matches a later one by chance. A process that has applied the log up to an offset has every version up to it.
using Version = std::uint64_t;

// SHA-256 of a client account's secret. Secrets are random and long, so an unsalted digest can't be reversed by
// guessing.
using SecretDigest = std::array<std::uint8_t, 32>;

// Trade-off between detection time and false ejections for a service.
enum class Detection : std::uint8_t {
    Fast,
    Balanced,
    Cautious,
};

std::string_view toString(Detection detection);
std::optional<Detection> detectionFromString(std::string_view name);

// A client account, in whose name callers send requests.
struct Account {
    AccountName name;
    SecretDigest secretDigest {};
    Version version = 0;

    bool operator==(const Account &) const = default;
};

// One class of requests of a service. A request uses the first route whose method and path prefix match it, or
// defaultRoute() if none matches.
struct Route {
    std::string name;
    std::string method; // "*": any
    std::string pathPrefix;
    bool idempotent = false;
    Millis timeout { 10'000 }; // maximum duration of a request
    Millis progressTimeout { 5'000 }; // maximum time between two pieces of a body

    bool operator==(const Route &) const = default;
};

// A service: a set of targets that serve the same requests.
struct Service {
    ServiceName name;
    Detection detection = Detection::Balanced;
    double floorShare = 0.5; // share of the service's targets, 0 to 1, that ejection must leave in service
    std::uint32_t floorCount = 1; // minimum number of targets that ejection must leave in service
    std::uint32_t slotsPerTarget = 4;
    std::uint32_t connectionsPerTarget = 330; // over the whole fleet
    std::vector<Route> routes;
    Version version = 0;

    bool operator==(const Service &) const = default;
};

// A target: one process on a VM that serves a service's requests.
struct Target {
    TargetName name;
    ServiceName service;
    std::string host; // IP address
    std::uint16_t port = 0;
    FailureDomain failureDomain;
    Version version = 0;

    bool operator==(const Target &) const = default;
};

// Limits of one client account for one service, over the whole fleet. 0 means no limit.
struct Limits {
    double requestsPerSecond = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queue = 0;

    bool operator==(const Limits &) const = default;
};

// One row of the operators' table. An account without a row for a service may not call it.
struct Row {
    AccountName account;
    ServiceName service;
    std::uint32_t weight = 1; // 1 to MaxWeight
    Limits limits;
    Version version = 0;

    bool operator==(const Row &) const = default;
};

inline constexpr std::uint32_t MaxWeight = 10'000;

// Returns the route for a request that no configured route matches. GET, HEAD and OPTIONS are idempotent by the HTTP
// standard; all other methods are treated as non-idempotent.
Route defaultRoute(std::string_view method);

// Returns the index in `service.routes` of the first route that matches, or nullopt.
std::optional<std::size_t> matchRoute(const Service &service, std::string_view method, std::string_view path);

} // namespace mulberryplank
