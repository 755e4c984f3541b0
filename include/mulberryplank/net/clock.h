#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/wait_traits.hpp>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// The monotonic clock that all timers and waits use. Tests set its time through a VirtualTime. The member names are
// those that the standard library requires of a clock.
class Clock
{
public:
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = Instant;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static Instant now();
};

// While it exists, replaces the time of Clock::now() on the thread that created it. Only advance() moves its time. At
// most one may exist on a thread. After advance(), poll the io_context rather than run it: a run that waits would wait
// in real time.
class VirtualTime
{
public:
    explicit VirtualTime(Instant start);
    ~VirtualTime();
    VirtualTime(const VirtualTime &) = delete;
    VirtualTime &operator=(const VirtualTime &) = delete;

    void advance(Duration span);

    // Returns whether a VirtualTime exists on this thread.
    static bool isInUse();
};

} // namespace mulberryplank

// Returns to Asio's reactor how long to wait for a timer. The function names are those that Asio requires.
template<>
struct boost::asio::wait_traits<mulberryplank::Clock> {
    // NOLINTNEXTLINE(readability-identifier-naming)
    static mulberryplank::Duration to_wait_duration(const mulberryplank::Duration &span)
    {
        // The reactor checks its timers only after it has waited for the first of them, so that wait has to be zero.
        return mulberryplank::VirtualTime::isInUse() ? mulberryplank::Duration {} : span;
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    static mulberryplank::Duration to_wait_duration(const mulberryplank::Instant &instant)
    {
        return to_wait_duration(instant - mulberryplank::Clock::now());
    }
};

namespace mulberryplank
{

using Timer = boost::asio::basic_waitable_timer<Clock>;

} // namespace mulberryplank
