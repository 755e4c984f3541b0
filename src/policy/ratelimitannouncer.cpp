#include "mulberryplank/policy/ratelimitannouncer.h"

#include <algorithm>
#include <limits>

namespace mulberryplank
{

namespace internal
{

namespace
{

// One datagram in twenty may be lost.
constexpr int Repetitions = 3;

} // namespace

} // namespace internal

void RateLimitAnnouncer::add(TargetKey target, const RateLimitNotice &notice)
{
    m_announcements[target] = { notice, internal::Repetitions };
}

void RateLimitAnnouncer::addRefresh(TargetKey target, const RateLimitNotice &notice)
{
    Announcement &announcement = m_announcements[target];
    announcement.notice = notice;
    announcement.left = std::max(announcement.left, 1);
}

std::vector<RateLimitReport> RateLimitAnnouncer::take(Instant now)
{
    constexpr std::int64_t MaxAge = std::numeric_limits<std::uint32_t>::max();
    std::vector<RateLimitReport> reports;
    for (auto &[target, announcement] : m_announcements) {
        const std::int64_t age = std::chrono::duration_cast<Millis>(now - announcement.notice.at).count();
        reports.push_back({ target,
                            announcement.notice.perSecond,
                            static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, MaxAge)) });
        --announcement.left;
    }
    std::erase_if(m_announcements, [](const auto &entry) {
        return entry.second.left == 0;
    });
    return reports;
}

RateLimitNotice noticeOf(const RateLimitReport &report, Instant now)
{
    return { report.perSecond, now - Millis(report.ageMillis) };
}

} // namespace mulberryplank
