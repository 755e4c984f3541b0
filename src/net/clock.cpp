#include "mulberryplank/net/clock.h"

#include <optional>

namespace mulberryplank
{

namespace internal
{

namespace
{

thread_local std::optional<Instant> virtualNow;

} // namespace

} // namespace internal

Instant Clock::now()
{
    return internal::virtualNow ? *internal::virtualNow : std::chrono::steady_clock::now();
}

VirtualTime::VirtualTime(Instant start)
{
    internal::virtualNow = start;
}

VirtualTime::~VirtualTime()
{
    internal::virtualNow.reset();
}

void VirtualTime::advance(Duration span)
{
    *internal::virtualNow += span;
}

bool VirtualTime::isInUse()
{
    return internal::virtualNow.has_value();
}

} // namespace mulberryplank
