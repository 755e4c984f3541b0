#pragma once

#include <string_view>

namespace mulberryplank
{

// Header names that the proxy reads or sets. Header names are compared without regard to case.
inline constexpr std::string_view RequestIdHeader = "X-Request-Id";
inline constexpr std::string_view DeadlineHeader = "X-Deadline-Ms";
inline constexpr std::string_view AccountHeader = "X-Account";
inline constexpr std::string_view OutcomeHeader = "X-Outcome";
inline constexpr std::string_view NotRunHeader = "X-Not-Run";
inline constexpr std::string_view LoadHeader = "X-Load";
inline constexpr std::string_view DrainingHeader = "X-Draining";
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

// Returns true if the header field `name` is end-to-end, not hop-by-hop. `connection` is the value of the message's
// Connection header, as in forwardToTarget().
bool isEndToEnd(std::string_view name, std::string_view connection);

// Returns true if a request's header field `name` may be forwarded to a target. `connection` is the value of the
// request's Connection header (multiple values joined by commas, empty without one): the fields that it lists are
// hop-by-hop. Returns false for fields that the proxy sets itself, so that a caller can't forge them.
bool forwardToTarget(std::string_view name, std::string_view connection);

// Returns true if a response's header field `name` may be forwarded to a caller. `connection` is as above, for the
// response.
bool forwardToCaller(std::string_view name, std::string_view connection);

// Returns true if a request's header field `name` must be omitted from the request for the rest of a body: the proxy
// sets Range and If-Range itself, and the caller's other conditions were met by the response that is being continued.
bool replacedOnResume(std::string_view name);

} // namespace mulberryplank
