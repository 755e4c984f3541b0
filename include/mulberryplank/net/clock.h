#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/wait_traits.hpp>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// The monotonic clock that all timers and waits go by. Tests pass the time themselves while a VirtualTime exists. The
// standard library gives its members their names.
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

// While one exists, Clock::now() on the thread that made it returns its time, which passes by advance() alone. At most
// one exists on a thread. Whoever advances it polls the io_context then: a run that waits would wait in real time.
class VirtualTime
{
public:
    explicit VirtualTime(Instant start);
    ~VirtualTime();
    VirtualTime(const VirtualTime &) = delete;
    VirtualTime &operator=(const VirtualTime &) = delete;

    void advance(Duration span);

    // Says whether one exists on this thread.
    static bool isInUse();
};

} // namespace mulberryplank

// Tells Asio's reactor how long to wait for a timer. Asio gives the functions their name.
template<>
struct boost::asio::wait_traits<mulberryplank::Clock> {
    // NOLINTNEXTLINE(readability-identifier-naming)
    static mulberryplank::Duration to_wait_duration(const mulberryplank::Duration &span)
    {
        // The reactor looks at its timers only once it has waited for the first of them.
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
