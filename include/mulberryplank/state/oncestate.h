#pragma once

#include <mutex>

#include "mulberryplank/policy/atmostonceregistry.h"

namespace mulberryplank
{

// The process's AtMostOnceRegistry under its lock. One shard is enough: only requests that carry an Idempotency-Key
// come here, and each holds the lock for a look-up.
class OnceState
{
public:
    OnceState(Incarnation self, Instant started, AtMostOnceSettings settings, std::function<bool(Incarnation)> isMember)
        : m_registry(self, started, settings, std::move(isMember))
    {
    }
    OnceState(const OnceState &) = delete;
    OnceState &operator=(const OnceState &) = delete;

    // Each does what the function of the same name in AtMostOnceRegistry does.
    IdempotencyToken token(Instant now) const
    {
        const std::lock_guard lock(m_mutex);
        return m_registry.token(now);
    }

    AtMostOnceDecision begin(const AccountName &account,
                             const ServiceName &service,
                             std::string_view key,
                             std::uint64_t fingerprint,
                             Instant now,
                             RequestSource source = RequestSource::Caller)
    {
        const std::lock_guard lock(m_mutex);
        return m_registry.begin(account, service, key, fingerprint, now, source);
    }

    void finishWithResponse(const AccountName &account, std::string_view key, StoredResponse answer)
    {
        const std::lock_guard lock(m_mutex);
        m_registry.finishWithResponse(account, key, std::move(answer));
    }

    void finishFailed(const AccountName &account, std::string_view key, Outcome outcome)
    {
        const std::lock_guard lock(m_mutex);
        m_registry.finishFailed(account, key, outcome);
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_registry.size();
    }

private:
    mutable std::mutex m_mutex;
    AtMostOnceRegistry m_registry;
};

} // namespace mulberryplank
