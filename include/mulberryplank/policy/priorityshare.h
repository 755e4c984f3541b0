#pragma once

#include <cstdint>
#include <map>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Periods over which a resource is divided by priority.
struct PriorityShareSettings {
    // The demand of more urgent priorities within this time is kept for them.
    Duration horizon = Millis(300);
    // Demand is averaged over this time, and a priority without demand for twice as long counts as not in use.
    Duration memory = Seconds(1);
    // The resource counts as short for this long after it was lacking.
    Duration shortageLifetime = Seconds(1);
};

// Divides a scarce resource by priority, 0 being the most urgent: the most urgent priority gets what it asks for, the
// next one what is left, and none that asks for it gets less than MinShare of the resource. The resource itself stays
// with the caller; this class returns how much of it a request must leave to others.
//
// Guarantee: while the resource isn't short, or while only one priority uses it, nothing has to be left. Nothing is
// granted beyond what the resource has. Amounts are in units of the resource, mostly requests. Thread-compatible.
class PriorityShare
{
public:
    // The least part of the resource that a priority gets if it asks for that much.
    static constexpr double MinShare = 0.1;

    explicit PriorityShare(PriorityShareSettings settings);

    // Sets how much of the resource is available per second.
    void setAvailable(double perSecond);

    // Records that a request wanted that amount. Must be called once for each request, granted or not.
    void recordDemand(std::uint32_t priority, double amount, Instant now);

    // Records that a request got that amount.
    void recordGrant(std::uint32_t priority, double amount, Instant now);

    // Records that the resource was lacking for a request, or was kept for others.
    void recordShortage(Instant now);

    // Returns true if the resource was lacking lately.
    bool isShort(Instant now) const;

    // Returns true if the resource was lacking lately and several priorities ask for it.
    bool isDivided(Instant now) const;

    // Returns how much of the resource per second the priority gets of what is available, by the recent demand.
    double share(std::uint32_t priority, Instant now);

    // Returns how much of the resource a request of that priority must leave to others; 0 while it isn't short.
    double reserve(std::uint32_t priority, Instant now);

private:
    struct Use {
        double demand = 0; // decayed sum of the amounts that were wanted
        double credit = 0; // part of the least share that the priority didn't get
        Instant lastDemand {};
    };

    void advance(Instant now);
    double leastShare(const Use &use) const; // per second
    double demandPerSecond(const Use &use) const;

    PriorityShareSettings m_settings;
    double m_perSecond = 0;
    std::map<std::uint32_t, Use> m_uses; // by priority
    Instant m_updated {};
    Instant m_shortUntil {};
};

} // namespace mulberryplank
