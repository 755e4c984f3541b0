#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// A deadline that a TimerWheel watches. Leaves the wheel by itself when destroyed. Not synchronized.
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

    // Takes the deadline back. Does nothing when not armed.
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

// Many deadlines at constant cost each. A caller or target connection moves its deadline several times per request; a
// timer of the event loop costs a heap operation each time, the wheel only relinks a list. Timers expire at the first
// advance() after their deadline, so the precision is the time between two calls of advance(). Not synchronized: one
// wheel per thread.
class TimerWheel
{
public:
    // `resolution` is the width of a slot, which should be about the time between two calls of advance().
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
