#pragma once

#include <unordered_map>
#include <vector>

#include "mulberryplank/policy/targetkey.h"
#include "mulberryplank/policy/targetratelimit.h"

namespace mulberryplank
{

// What one process tells the others about a target's rate limit.
struct RateLimitReport {
    TargetKey target = 0;
    std::optional<double> perSecond; // empty: the target has no limit
    std::uint32_t ageMillis = 0; // of RateLimitNotice::at
};

// Collects news of rate limits for the other processes. Changes are sent several times, because datagrams are lost.
// Thread-compatible.
class RateLimitAnnouncer
{
public:
    // Records a change that a target's response has brought.
    void add(TargetKey target, const RateLimitNotice &notice);

    // Records that a target's limit still holds. That is sent only once.
    void addRefresh(TargetKey target, const RateLimitNotice &notice);

    // Returns the news to send now. Must be called at regular intervals of half a second or so.
    std::vector<RateLimitReport> take(Instant now);

private:
    struct Announcement {
        RateLimitNotice notice;
        int left = 0; // how many times it is still sent
    };

    std::unordered_map<TargetKey, Announcement> m_announcements;
};

// Returns what a received report says.
RateLimitNotice noticeOf(const RateLimitReport &report, Instant now);

} // namespace mulberryplank
