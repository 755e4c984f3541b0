#include "mulberryplank/policy/deadline.h"

#include <algorithm>
#include <charconv>

namespace mulberryplank
{

namespace internal
{

// A day: values beyond it are capped before they are multiplied into nanoseconds, where they would overflow.
constexpr std::uint64_t MaxDeadlineMs = 24ULL * 60 * 60 * 1'000;

} // namespace internal

Deadline::Deadline(Instant arrived, Duration limit)
    : m_at(arrived + limit)
{
}

Instant Deadline::at() const
{
    return m_at;
}

Duration Deadline::remaining(Instant now) const
{
    return std::max<Duration>(m_at - now, Duration::zero());
}

bool Deadline::passed(Instant now) const
{
    return now >= m_at;
}

std::string Deadline::forTarget(Instant now) const
{
    return std::to_string(std::chrono::duration_cast<Millis>(remaining(now)).count());
}

Result<Deadline> deadlineFor(std::string_view callerDeadlineMs, const Route &route, Instant arrived)
{
    if (callerDeadlineMs.empty()) {
        return Deadline(arrived, route.timeout);
    }
    std::uint64_t value = 0;
    const char *end = callerDeadlineMs.data() + callerDeadlineMs.size();
    const auto [parsed, error] = std::from_chars(callerDeadlineMs.data(), end, value);
    if (parsed != end || error != std::errc {} || value == 0) {
        return failure(ErrorKind::BadRequest, "X-Deadline-Ms must be a positive whole number of milliseconds");
    }
    const Millis requested(std::min(value, internal::MaxDeadlineMs));
    return Deadline(arrived, std::min(requested, route.timeout));
}

Duration attemptTimeout(Duration remaining, std::uint32_t attemptsLeft)
{
    return attemptsLeft > 1 ? remaining / 2 : remaining;
}

} // namespace mulberryplank
