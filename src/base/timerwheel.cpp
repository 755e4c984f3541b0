#include "mulberryplank/base/timerwheel.h"

#include <algorithm>

namespace mulberryplank
{

TimerWheel::TimerWheel(Instant now, Duration resolution)
    : m_start(now)
    , m_resolution(resolution)
    , m_slots(SlotCount)
{
}

std::uint64_t TimerWheel::tickOf(Instant instant) const
{
    if (instant <= m_start) {
        return 0;
    }
    return static_cast<std::uint64_t>((instant - m_start) / m_resolution);
}

void TimerWheel::insert(WheelTimer &timer)
{
    const std::uint64_t farthest = m_tick + SlotCount - 1;
    // A deadline beyond the wheel's range is put into the farthest slot and inserted again when that slot is due.
    const std::uint64_t tick = std::clamp(tickOf(timer.m_deadline), m_tick, farthest);
    m_slots[tick % SlotCount].push_back(timer);
}

void TimerWheel::arm(WheelTimer &timer, Instant deadline)
{
    timer.disarm();
    timer.m_deadline = deadline;
    insert(timer);
}

void TimerWheel::expireSlot(Slot &slot, Instant now)
{
    Slot due;
    due.splice(due.end(), slot);
    while (!due.empty()) {
        WheelTimer &timer = due.front();
        due.pop_front();
        if (timer.m_deadline > now) {
            insert(timer);
            continue;
        }
        timer.m_expired();
    }
}

void TimerWheel::advance(Instant now)
{
    const std::uint64_t last = tickOf(now);
    // After a long interval, one revolution visits every slot; further revolutions would find no more timers.
    const std::uint64_t first = last >= m_tick + SlotCount ? last - SlotCount + 1 : m_tick;
    for (std::uint64_t tick = first; tick <= last; ++tick) {
        m_tick = tick;
        expireSlot(m_slots[tick % SlotCount], now);
    }
}

} // namespace mulberryplank
