#include "mulberryplank/policy/pipeline.h"

#include <algorithm>
#include <numeric>

namespace mulberryplank
{

PipelineOrder::PipelineOrder(PipelineLimits limits)
    : m_limits(limits)
{
}

std::vector<PipelineOrder::Entry>::const_iterator PipelineOrder::find(Id request) const
{
    return std::find_if(m_entries.begin(), m_entries.end(), [request](const Entry &entry) {
        return entry.id == request;
    });
}

PipelineOrder::Id PipelineOrder::add(PipelineMode mode)
{
    m_entries.push_back({ ++m_lastId, mode, 0 });
    return m_lastId;
}

void PipelineOrder::setMode(Id request, PipelineMode mode)
{
    const auto found = find(request);
    if (found != m_entries.end()) {
        m_entries[static_cast<std::size_t>(found - m_entries.begin())].mode = mode;
    }
}

bool PipelineOrder::mayRead() const
{
    const bool allConcurrent = std::all_of(m_entries.begin(), m_entries.end(), [](const Entry &entry) {
        return entry.mode == PipelineMode::Concurrent;
    });
    return !m_closed && allConcurrent && !isFull();
}

bool PipelineOrder::isFull() const
{
    return m_entries.size() >= m_limits.maxRequests || waitingBytes() > m_limits.maxWaitingBytes;
}

bool PipelineOrder::mayStart(Id request) const
{
    const auto found = find(request);
    if (found == m_entries.end()) {
        return false;
    }
    if (found->mode == PipelineMode::Exclusive) {
        return found == m_entries.begin();
    }
    return std::none_of(m_entries.begin(), found, [](const Entry &before) {
        return before.mode == PipelineMode::Exclusive;
    });
}

void PipelineOrder::finish(Id request, std::size_t bytes)
{
    const auto found = find(request);
    if (found != m_entries.end()) {
        m_entries[static_cast<std::size_t>(found - m_entries.begin())].bytes = bytes;
    }
}

bool PipelineOrder::isFirst(Id request) const
{
    return !m_entries.empty() && m_entries.front().id == request;
}

bool PipelineOrder::isLast(Id request) const
{
    return !m_entries.empty() && m_entries.back().id == request;
}

std::size_t PipelineOrder::close(Id request)
{
    m_closed = true;
    const auto behind = std::find_if(m_entries.begin(), m_entries.end(), [request](const Entry &entry) {
        return entry.id > request;
    });
    const auto dropped = static_cast<std::size_t>(m_entries.end() - behind);
    m_entries.erase(behind, m_entries.end());
    return dropped;
}

bool PipelineOrder::isGone(Id request) const
{
    return find(request) == m_entries.end();
}

void PipelineOrder::remove(Id request)
{
    const auto found = find(request);
    if (found != m_entries.end()) {
        m_entries.erase(found);
    }
}

bool PipelineOrder::isEmpty() const
{
    return m_entries.empty();
}

std::size_t PipelineOrder::size() const
{
    return m_entries.size();
}

bool PipelineOrder::isClosed() const
{
    return m_closed;
}

std::size_t PipelineOrder::waitingBytes() const
{
    if (m_entries.size() < 2) {
        return 0;
    }
    return std::accumulate(
        m_entries.begin() + 1, m_entries.end(), std::size_t { 0 }, [](std::size_t sum, const Entry &entry) {
            return sum + entry.bytes;
        });
}

} // namespace mulberryplank
