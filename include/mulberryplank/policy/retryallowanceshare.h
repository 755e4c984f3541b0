#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// What one process may take of a fixed allowance that all ingressProxies to the fleet share over a sliding window.
struct RetryAllowanceShareSettings {
    double total = 10; // of the fleet in a window
    Duration window = Seconds(10);
};

// Divides the fixed part of the fleet's budget among the ingressProxies, so that the fleet stays within it although
// nobody counts for all of it:
// - A process that has just become an entry takes nothing at first, then a tenth of its share until a window has
//   passed. Whoever it follows may have spent a share within the same window, and a process that has just started sees
//   itself as the only entry.
// - The share is that of the largest number of ingressProxies seen within a minute. A process that is cut off from the
//   others takes them for dead while they go on spending.
// Not synchronized.
class RetryAllowanceShare
{
public:
    explicit RetryAllowanceShare(RetryAllowanceShareSettings settings);

    void setTotal(double total);

    // Takes over what the members say now: how many ingressProxies there are, and whether this process is one.
    void update(std::size_t ingressProxies, bool isIngressProxy, Instant now);

    // Returns what this process may take in a window.
    double fixedAllowance(Instant now) const;

private:
    static constexpr std::size_t Buckets = 6;

    RetryAllowanceShareSettings m_settings;
    std::optional<Instant> m_ingressSince;
    std::array<std::size_t, Buckets> m_maxIngressProxies {}; // by the parts of the last minute
    std::int64_t m_current = 0; // the part that was written last
};

} // namespace mulberryplank
