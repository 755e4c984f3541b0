#include "mulberryplank/policy/logposition.h"

#include <array>

namespace mulberryplank
{

namespace internal
{

std::string describe(Offset applied, const LogPage &page)
{
    return "applied " + std::to_string(applied) + ", the log has " + std::to_string(page.first) + " to "
           + std::to_string(page.next);
}

// A page that skips a record would silently produce a table that lacks an edit.
bool isContiguous(const LogPage &page)
{
    for (std::size_t index = 0; index < page.records.size(); ++index) {
        const Offset offset = page.records[index].offset;
        const bool follows = index == 0 || offset == page.records[index - 1].offset + 1;
        if (!follows || offset < page.first || offset >= page.next) {
            return false;
        }
    }
    return page.first <= page.next;
}

} // namespace internal

std::string_view toString(LogFinding finding)
{
    constexpr std::array<std::string_view, 5> Names { "current", "news", "expired", "went-back", "malformed" };
    return Names.at(static_cast<std::size_t>(finding));
}

Offset verificationOffset(Offset applied)
{
    return applied == 0 ? 0 : applied - 1;
}

LogCheckResult checkLog(Offset applied, const RecordDigest &last, LogPage page)
{
    const std::string detail = internal::describe(applied, page);
    if (!internal::isContiguous(page)) {
        return { LogFinding::Malformed, {}, detail };
    }
    if (page.next < applied) {
        return { LogFinding::RolledBack, {}, detail };
    }
    if (page.first > applied) {
        return { LogFinding::Expired, {}, detail };
    }
    LogCheckResult result { LogFinding::Current, {}, detail };
    const Offset expected = std::max(verificationOffset(applied), page.first);
    if (page.next > expected && (page.records.empty() || page.records.front().offset != expected)) {
        return { LogFinding::Malformed, {}, detail };
    }
    for (LogRecord &record : page.records) {
        if (record.offset >= applied) {
            result.finding = LogFinding::NewRecords;
            result.update.push_back(std::move(record));
        } else if (digestOfRecord(record.data) != last) {
            return { LogFinding::RolledBack,
                     {},
                     detail + ", and record " + std::to_string(record.offset) + " differs" };
        }
    }
    return result;
}

SnapshotSchedule::SnapshotSchedule(Settings settings)
    : m_settings(settings)
{
}

void SnapshotSchedule::seen(Offset next, Offset at, Instant now)
{
    if (next < m_newest || (m_newestAt && at <= *m_newestAt)) {
        return;
    }
    m_newest = next;
    m_newestAt = at;
    m_newestSeen = now;
}

// Records that no snapshot contains are considered close to expiry when the newest snapshot lies in the older half of
// the records that the log keeps.
bool SnapshotSchedule::isNearExpiry(const LogPage &log) const
{
    return !m_newestAt || m_newest < log.first + (log.next - log.first) / 2;
}

bool SnapshotSchedule::isDue(Offset applied, const LogPage &log, std::size_t rank, Instant now) const
{
    if (applied == 0 || applied < m_newest) {
        return false;
    }
    const Duration delay = m_settings.delayPerRank * static_cast<std::int64_t>(rank);
    const Duration interval = isNearExpiry(log) ? Duration(0) : m_settings.interval;
    return now - m_newestSeen >= interval + delay;
}

} // namespace mulberryplank
