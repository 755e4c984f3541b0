#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Settings of one process's share of a fixed allowance that all ingress proxies of the fleet share in a sliding window.
struct RetryAllowanceShareSettings {
    double total = 10; // of the fleet in a window
    Duration window = Seconds(10);
};

// Divides the fixed retry allowance of the fleet among the ingress proxies, so that the fleet stays within it although
// no process counts the total:
// - A process that has just become an ingress proxy takes nothing at first, then a tenth of its share until a window
//   has passed. Its predecessor may have spent a share within the same window, and a process that has just started sees
//   itself as the only ingress proxy.
// - The share is computed from the largest number of ingress proxies seen within a minute. A process that is cut off
//   from the others considers them dead while they continue to spend.
// Thread-compatible.
class RetryAllowanceShare
{
public:
    explicit RetryAllowanceShare(RetryAllowanceShareSettings settings);

    void setTotal(double total);

    // Updates the current membership view: the number of ingress proxies, and whether this process is one of them.
    void update(std::size_t ingressProxies, bool isIngressProxy, Instant now);

    // Returns the number of attempts that this process may take in a window.
    double fixedAllowance(Instant now) const;

private:
    static constexpr std::size_t Buckets = 6;

    RetryAllowanceShareSettings m_settings;
    std::optional<Instant> m_ingressSince;
    std::array<std::size_t, Buckets> m_maxIngressProxies {}; // per bucket of the last minute
    std::int64_t m_current = 0; // the bucket that was written last
};

} // namespace mulberryplank
