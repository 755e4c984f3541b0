#include "mulberryplank/policy/quarantine.h"

#include <algorithm>

namespace mulberryplank
{

Quarantine::Quarantine(std::size_t capacity)
    : m_capacity(capacity)
{
}

bool Quarantine::add(const QuarantinedRequest &entry, Instant now)
{
    if (entry.left <= Duration::zero() || m_until.contains(entry.request)) {
        return false;
    }
    makeRoom();
    m_until.emplace(entry.request, now + entry.left);
    return true;
}

void Quarantine::makeRoom()
{
    while (!m_until.empty() && m_until.size() >= m_capacity) {
        m_until.erase(std::min_element(m_until.begin(), m_until.end(), [](const auto &one, const auto &other) {
            return one.second < other.second;
        }));
    }
}

std::optional<Duration> Quarantine::left(RequestFingerprint request, Instant now) const
{
    const auto found = m_until.find(request);
    if (found == m_until.end() || found->second <= now) {
        return std::nullopt;
    }
    return found->second - now;
}

std::vector<RequestFingerprint> Quarantine::expire(Instant now)
{
    std::vector<RequestFingerprint> expired;
    for (const auto &[request, until] : m_until) {
        if (until <= now) {
            expired.push_back(request);
        }
    }
    for (const RequestFingerprint request : expired) {
        m_until.erase(request);
    }
    return expired;
}

std::vector<QuarantinedRequest> Quarantine::entries(Instant now) const
{
    std::vector<QuarantinedRequest> entries;
    for (const auto &[request, until] : m_until) {
        entries.push_back({ request, until - now });
    }
    return entries;
}

} // namespace mulberryplank
