#include "mulberryplank/base/errorkind.h"

#include <array>
#include <utility>

namespace mulberryplank
{

namespace internal
{

// Rows are in the order of the enumeration; errorkindtest.cpp checks that none is missing or out of place.
constexpr std::array ErrorTable {
    ErrorInfo { ErrorKind::BadRequest, "bad-request", 400, Outcome::NotRun, false, 0 },
    ErrorInfo { ErrorKind::HeaderTooLarge, "header-too-large", 431, Outcome::NotRun, false, 0 },
    ErrorInfo { ErrorKind::BodyTooLarge, "body-too-large", 413, Outcome::Unknown, false, 0 },
    ErrorInfo { ErrorKind::RequestTimeout, "request-timeout", 408, Outcome::Unknown, false, 0 },
    ErrorInfo { ErrorKind::Unauthenticated, "unauthenticated", 401, Outcome::NotRun, false, 0 },
    ErrorInfo { ErrorKind::Forbidden, "forbidden", 403, Outcome::NotRun, false, 0 },
    ErrorInfo { ErrorKind::UnknownService, "unknown-service", 404, Outcome::NotRun, false, 0 },
    ErrorInfo { ErrorKind::KeyRequired, "key-required", 428, Outcome::NotRun, true, 0 },
    ErrorInfo { ErrorKind::KeyReused, "key-reused", 422, Outcome::NotRun, false, 0 },
    ErrorInfo { ErrorKind::TooManyConnections, "too-many-connections", 503, Outcome::NotRun, true, 1 },
    ErrorInfo { ErrorKind::BuffersFull, "buffers-full", 503, Outcome::NotRun, true, 1 },
    ErrorInfo { ErrorKind::Misdirected, "misdirected", 421, Outcome::NotRun, true, 0 },
    ErrorInfo { ErrorKind::RateLimited, "rate-limited", 429, Outcome::NotRun, true, 1 },
    ErrorInfo { ErrorKind::InFlightLimited, "in-flight-limited", 429, Outcome::NotRun, true, 1 },
    ErrorInfo { ErrorKind::QueueFull, "queue-full", 429, Outcome::NotRun, true, 1 },
    ErrorInfo { ErrorKind::DeadlineBeforeStart, "deadline-before-start", 503, Outcome::NotRun, true, 1 },
    ErrorInfo { ErrorKind::NoTarget, "no-target", 503, Outcome::NotRun, true, 2 },
    ErrorInfo { ErrorKind::ConnectFailed, "connect-failed", 503, Outcome::NotRun, true, 1 },
    ErrorInfo { ErrorKind::TargetShed, "target-shed", 503, Outcome::NotRun, true, 1 },
    ErrorInfo { ErrorKind::TargetTimeout, "target-timeout", 504, Outcome::Unknown, false, 0 },
    ErrorInfo { ErrorKind::TargetReset, "target-reset", 502, Outcome::Unknown, false, 0 },
    ErrorInfo { ErrorKind::TargetTruncated, "target-truncated", 502, Outcome::Unknown, false, 0 },
    ErrorInfo { ErrorKind::TargetMismatch, "target-mismatch", 502, Outcome::Unknown, false, 0 },
    ErrorInfo { ErrorKind::TargetError, "target-error", 502, Outcome::Unknown, false, 0 },
    ErrorInfo { ErrorKind::RequestQuarantined, "request-quarantined", 503, Outcome::NotRun, true, 600 },
    ErrorInfo { ErrorKind::Cancelled, "cancelled", 499, Outcome::Unknown, false, 0 },
    ErrorInfo { ErrorKind::RepeatInProgress, "repeat-in-progress", 409, Outcome::Unknown, true, 1 },
    ErrorInfo { ErrorKind::RepeatUnknown, "repeat-unknown", 409, Outcome::Unknown, false, 0 },
    ErrorInfo { ErrorKind::NotReady, "not-ready", 503, Outcome::NotRun, true, 2 },
    ErrorInfo { ErrorKind::Draining, "draining", 503, Outcome::NotRun, true, 0 },
    ErrorInfo { ErrorKind::PlatformUnavailable, "platform-unavailable", 503, Outcome::Unknown, true, 5 },
    ErrorInfo { ErrorKind::Conflict, "conflict", 409, Outcome::NotRun, false, 0 },
    ErrorInfo { ErrorKind::NotFound, "not-found", 404, Outcome::NotRun, false, 0 },
    ErrorInfo { ErrorKind::BadConfiguration, "bad-configuration", 422, Outcome::NotRun, false, 0 },
    ErrorInfo { ErrorKind::PeerUntrusted, "peer-untrusted", 403, Outcome::NotRun, false, 0 },
    ErrorInfo { ErrorKind::PeerLost, "peer-lost", 502, Outcome::Unknown, false, 0 },
    ErrorInfo { ErrorKind::Internal, "internal", 500, Outcome::Unknown, false, 0 },
};

} // namespace internal

std::string_view toString(Outcome outcome)
{
    constexpr std::array<std::string_view, 3> Names { "answered", "not-run", "unknown" };
    return Names.at(static_cast<std::size_t>(outcome));
}

const ErrorInfo &errorInfo(ErrorKind kind)
{
    return internal::ErrorTable.at(static_cast<std::size_t>(kind));
}

std::string_view toString(ErrorKind kind)
{
    return errorInfo(kind).name;
}

std::optional<ErrorKind> errorKindFromString(std::string_view name)
{
    for (const ErrorInfo &row : internal::ErrorTable) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return std::nullopt;
}

tl::unexpected<Error> failure(ErrorKind kind, std::string detail)
{
    return tl::make_unexpected(Error { kind, std::move(detail) });
}

} // namespace mulberryplank
