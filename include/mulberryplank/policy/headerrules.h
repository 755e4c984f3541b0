#pragma once

#include <string_view>

namespace mulberryplank
{

// Header names that the product reads or sets. Compared without regard to case, as all header names are.
inline constexpr std::string_view RequestIdHeader = "X-Request-Id";
inline constexpr std::string_view DeadlineHeader = "X-Deadline-Ms";
inline constexpr std::string_view AccountHeader = "X-Account";
inline constexpr std::string_view OutcomeHeader = "X-Outcome";
inline constexpr std::string_view NotRunHeader = "X-Not-Run";
inline constexpr std::string_view LoadHeader = "X-Load";
inline constexpr std::string_view DrainingHeader = "X-Draining";
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

// Returns true if the header field `name` concerns both ends and not just one connection. `connection` is the value of
// the message's Connection header, as below.
bool isEndToEnd(std::string_view name, std::string_view connection);

// Returns true if a request's header field `name` may be passed on to a target. `connection` is the value of the
// request's Connection header (its values joined by commas, empty without one): the fields that it names concern only
// the hop they came over. Fields that the product sets itself are refused here, so that a caller can't forge them.
bool forwardToTarget(std::string_view name, std::string_view connection);

// Returns true if an answer's header field `name` may be passed on to a caller; `connection` as above, of the answer.
bool forwardToCaller(std::string_view name, std::string_view connection);

// Returns true if a request's header field `name` must be left out when the rest of a body is asked for: the proxy sets
// Range and If-Range itself, and the caller's other conditions were met by the answer that is being continued.
bool replacedOnResume(std::string_view name);

} // namespace mulberryplank
