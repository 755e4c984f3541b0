#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace mulberryplank
{

// What a caller may conclude about its request.
enum class Outcome : std::uint8_t {
    Answered, // the target's complete response was forwarded
    NotRun, // no byte of the request reached a target, or the target reported that it did not run it
    Unknown, // the request may or may not have run
};

// Returns the name of `outcome` as used in responses and logs.
std::string_view toString(Outcome outcome);

// All kinds of errors. The list is closed: each kind has one row in the table that errorInfo() reads, and
// docs/CALLERS.md prints that table.
enum class ErrorKind : std::uint8_t {
    // The caller's request.
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    RequestTimeout,
    Unauthenticated,
    Forbidden,
    UnknownService,
    KeyRequired,
    KeyReused,
    TooManyConnections,
    BuffersFull,
    // Placement.
    Misdirected,
    // Limits and load.
    RateLimited,
    InFlightLimited,
    QueueFull,
    DeadlineBeforeStart,
    NoTarget,
    // Targets.
    ConnectFailed,
    TargetShed,
    TargetTimeout,
    TargetReset,
    TargetTruncated,
    TargetMismatch,
    TargetError,
    RequestQuarantined,
    Cancelled,
    // Repeats of a non-idempotent request.
    RepeatInProgress,
    RepeatUnknown,
    // The fleet and the platform.
    NotReady,
    Draining,
    PlatformUnavailable,
    Conflict,
    NotFound,
    BadConfiguration,
    PeerUntrusted,
    PeerLost,
    Internal,
};

// How an ErrorKind is reported to a caller.
struct ErrorInfo {
    ErrorKind kind;
    std::string_view name; // machine-readable, stable across versions
    int status; // HTTP status
    Outcome outcome; // the strongest claim that always holds for this kind
    bool repeatIsSafe; // whether the caller may send the request again without running it twice
    int retryAfterSeconds; // 0: no Retry-After header
};

// Returns the row of the table for `kind`. Every kind has one.
const ErrorInfo &errorInfo(ErrorKind kind);

// Returns the machine-readable name of `kind`.
std::string_view toString(ErrorKind kind);

// Returns the kind with that name, or nothing.
std::optional<ErrorKind> errorKindFromString(std::string_view name);

// An error. `detail` says where and why it occurred, for people.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
};

template<typename T>
using Result = tl::expected<T, Error>;

// Returns an error that converts to any Result.
tl::unexpected<Error> failure(ErrorKind kind, std::string detail);

} // namespace mulberryplank
