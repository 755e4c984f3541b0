#include "mulberryplank/policy/recordtail.h"

namespace mulberryplank
{

RecordTail::RecordTail(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

void RecordTail::add(Offset offset, const RecordDigest &before, std::string record)
{
    if (offset != m_next) {
        m_entries.clear();
        m_bytes = 0;
    }
    m_next = offset + 1;
    m_bytes += record.size();
    m_entries.push_back({ before, std::move(record) });
    while (m_bytes > m_maxBytes) {
        m_bytes -= m_entries.front().record.size();
        m_entries.pop_front();
    }
}

std::optional<ConfigUpdate> RecordTail::since(Offset from) const
{
    const Offset first = m_next - m_entries.size();
    if (from < first || from >= m_next) {
        return std::nullopt;
    }
    ConfigUpdate update { from, m_entries[from - first].before, {} };
    for (std::size_t index = from - first; index < m_entries.size(); ++index) {
        update.records.push_back(m_entries[index].record);
    }
    return update;
}

} // namespace mulberryplank
