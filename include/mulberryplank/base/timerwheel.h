#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// A timer of a TimerWheel. Its destructor removes it from the wheel. Thread-compatible.
class WheelTimer
{
public:
    // `expired` is called from TimerWheel::advance(), at most once for each arm().
    explicit WheelTimer(std::function<void()> expired)
        : m_expired(std::move(expired))
    {
    }
    WheelTimer(const WheelTimer &) = delete;
    WheelTimer &operator=(const WheelTimer &) = delete;

    // Returns true between TimerWheel::arm() and the expiry or disarm().
    bool isArmed() const
    {
        return m_hook.is_linked();
    }

    // Cancels the timer. Does nothing if it isn't armed.
    void disarm()
    {
        m_hook.unlink();
    }

private:
    friend class TimerWheel;
    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    Hook m_hook;
    Instant m_deadline {};
    std::function<void()> m_expired;
};

// A set of timers with constant cost per operation. A connection to a caller or target moves its deadline several times
// per request. A timer of the event loop costs a heap operation each time, whereas the wheel only relinks a list node.
// A timer expires at the first advance() after its deadline, so the precision is the interval between two calls of
// advance(). Thread-compatible: each thread uses its own wheel.
class TimerWheel
{
public:
    // `resolution` is the width of a slot. It should be about the interval between two calls of advance().
    TimerWheel(Instant now, Duration resolution);
    TimerWheel(const TimerWheel &) = delete;
    TimerWheel &operator=(const TimerWheel &) = delete;

    // Sets or moves the timer's deadline.
    void arm(WheelTimer &timer, Instant deadline);

    // Calls the expiry function of every timer whose deadline is at or before `now`. The functions may arm, disarm and
    // destroy timers.
    void advance(Instant now);

private:
    static constexpr std::size_t SlotCount = 1'024;
    using Slot =
        boost::intrusive::list<WheelTimer,
                               boost::intrusive::member_hook<WheelTimer, WheelTimer::Hook, &WheelTimer::m_hook>,
                               boost::intrusive::constant_time_size<false>>;

    std::uint64_t tickOf(Instant instant) const;
    void insert(WheelTimer &timer);
    void expireSlot(Slot &slot, Instant now);

    Instant m_start;
    Duration m_resolution;
    std::uint64_t m_tick = 0;
    std::vector<Slot> m_slots;
};

} // namespace mulberryplank
