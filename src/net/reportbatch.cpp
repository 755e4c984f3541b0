#include "mulberryplank/net/reportbatch.h"

#include <utility>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Silence is told in steps of a fifth of a second and more; an answer that ends it takes back what was told before.
bool canWait(const AttemptReport &report)
{
    return report.result == AttemptResult::Timeout || report.result == AttemptResult::Success;
}

} // namespace

} // namespace internal

ReportBatch::ReportBatch(Duration maxDelay)
    : m_maxDelay(maxDelay)
{
}

std::vector<AttemptReport> ReportBatch::add(const AttemptReport &report, Instant now)
{
    if (m_pending.empty()) {
        m_due = now + m_maxDelay;
    }
    m_pending.push_back(report);
    const bool mustSend = !internal::canWait(report) || now >= m_due;
    return mustSend ? take() : std::vector<AttemptReport> {};
}

std::optional<Instant> ReportBatch::due() const
{
    return m_pending.empty() ? std::nullopt : std::optional(m_due);
}

std::vector<AttemptReport> ReportBatch::take()
{
    return std::exchange(m_pending, {});
}

} // namespace mulberryplank
