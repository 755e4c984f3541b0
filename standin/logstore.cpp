#include "logstore.h"

#include <algorithm>

namespace standin
{

namespace
{

constexpr std::size_t MaxPageBytes = std::size_t { 8 } << 20;

} // namespace

LogStore::LogStore(Retention retention)
    : m_retention(retention)
{
}

std::uint64_t LogStore::append(const std::string &stream, std::string data, Instant now)
{
    Stream &storedStream = m_streams[stream];
    storedStream.records.push_back({ std::move(data), now });
    const std::uint64_t offset = storedStream.first + storedStream.records.size() - 1;
    expire(storedStream, now);
    return offset;
}

LogPage LogStore::read(const std::string &stream, std::uint64_t from, std::size_t max, Instant now)
{
    LogPage page;
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return page;
    }
    Stream &storedStream = found->second;
    expire(storedStream, now);
    page.first = storedStream.first;
    page.next = storedStream.first + storedStream.records.size();
    std::size_t bytes = 0;
    for (std::uint64_t offset = std::max(from, page.first); offset < page.next; ++offset) {
        const std::string &data = storedStream.records[offset - page.first].data;
        bytes += data.size();
        if (page.records.size() >= max || (bytes > MaxPageBytes && !page.records.empty())) {
            break;
        }
        page.records.push_back({ offset, data });
    }
    return page;
}

void LogStore::loseTail(std::size_t count)
{
    for (auto &[name, stream] : m_streams) {
        const std::size_t lost = std::min(count, stream.records.size());
        stream.records.resize(stream.records.size() - lost);
    }
}

void LogStore::recreate()
{
    m_streams.clear();
}

void LogStore::expire(Stream &stream, Instant now) const
{
    const auto isExpired = [this, now](const StoredRecord &record) {
        return now - record.at > m_retention.age;
    };
    while (!stream.records.empty()
           && (stream.records.size() > m_retention.records || isExpired(stream.records.front()))) {
        stream.records.pop_front();
        ++stream.first;
    }
}

} // namespace standin
