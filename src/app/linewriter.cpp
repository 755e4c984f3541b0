#include "mulberryplank/app/linewriter.h"

#include <algorithm>
#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace mulberryplank
{

LineRate::LineRate(double perSecond, double burst)
    : m_perSecond(perSecond)
    , m_burst(burst)
    , m_tokens(burst)
{
}

bool LineRate::tryAcquire(Instant now)
{
    const double gained = toSeconds(now - m_filledAt) * m_perSecond;
    m_tokens = std::min(m_tokens + std::max(gained, 0.0), m_burst);
    m_filledAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

LineWriter::LineWriter(int descriptor, LineWriterSettings settings)
    : m_descriptor(descriptor)
    , m_settings(settings)
    , m_routine(settings.linesPerSecond, settings.burstLines)
    , m_important(settings.importantPerSecond, settings.importantBurst)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

// Hands over what the descriptor takes now.
void LineWriter::flush()
{
    while (!m_pending.empty()) {
        const ssize_t written = ::write(m_descriptor, m_pending.data(), m_pending.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return;
        }
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

void LineWriter::write(std::string_view line, bool important, Instant now)
{
    const std::lock_guard lock(m_mutex);
    flush();
    const bool fits = m_pending.size() + line.size() <= m_settings.bufferBytes;
    const bool allowed = (important ? m_important : m_routine).tryAcquire(now);
    if (!fits || !allowed) {
        ++m_dropped;
        return;
    }
    if (m_dropped > m_reportedDropped) {
        m_pending += std::string(LinesDroppedPrefix) + std::to_string(m_dropped - m_reportedDropped) + "\n";
        m_reportedDropped = m_dropped;
    }
    m_pending += line;
    flush();
}

std::uint64_t LineWriter::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

} // namespace mulberryplank
