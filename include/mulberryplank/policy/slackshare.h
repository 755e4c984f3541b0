#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// What one process may take of a fixed allowance that all entries to the fleet share over a sliding window.
struct SlackShareSettings {
    double total = 10; // of the fleet in a window
    Duration window = Seconds(10);
};

// Divides the fixed part of the fleet's budget among the entries, so that the fleet stays within it although nobody
// counts for all of it:
// - A process that has just become an entry takes nothing at first, then a tenth of its share until a window has
//   passed. Whoever it follows may have spent a share within the same window, and a process that has just started sees
//   itself as the only entry.
// - The share is that of the largest number of entries seen within a minute. A process that is cut off from the
//   others takes them for dead while they go on spending.
// Not synchronized.
class SlackShare
{
public:
    explicit SlackShare(SlackShareSettings settings);

    void setTotal(double total);

    // Takes over what the members say now: how many entries there are, and whether this process is one.
    void follow(std::size_t entries, bool isEntry, Instant now);

    // Returns what this process may take in a window.
    double slack(Instant now) const;

private:
    static constexpr std::size_t Buckets = 6;

    SlackShareSettings m_settings;
    std::optional<Instant> m_entrySince;
    std::array<std::size_t, Buckets> m_mostEntries {}; // by the parts of the last minute
    std::int64_t m_current = 0; // the part that was written last
};

} // namespace mulberryplank
