#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "mulberryplank/policy/fairqueue.h"
#include "mulberryplank/policy/ratelimit.h"

namespace mulberryplank::fairnessmodel
{

// The scheduling policies that are compared.
enum class Policy : std::uint8_t {
    FairQueue,
    FirstComeFirstServed,
    StaticLimits, // each account's share, divided evenly over the proxies; first come first served within it
};

inline const char *toString(Policy policy)
{
    switch (policy) {
    case Policy::FairQueue:
        return "fair queue";
    case Policy::FirstComeFirstServed:
        return "first come first served";
    case Policy::StaticLimits:
        return "static limit per proxy";
    }
    return "";
}

// Orders the waiting requests of one proxy.
class Scheduler
{
public:
    virtual ~Scheduler() = default;
    virtual bool offer(RequestId request, AccountIndex account, std::uint16_t route, Instant deadline, Instant now) = 0;
    virtual std::optional<RequestId> next(Instant now) = 0;
    virtual std::vector<RequestId> expired(Instant now) = 0;
    virtual void finished(RequestId request, Duration slotTime, Instant now) = 0;
    virtual std::size_t waiting() const = 0;
    virtual Duration retryAfter(AccountIndex account, Instant now) const = 0;
};

class FairScheduler : public Scheduler
{
public:
    explicit FairScheduler(FairQueueSettings settings)
        : queue(settings)
    {
    }

    bool offer(RequestId request, AccountIndex account, std::uint16_t route, Instant deadline, Instant now) override
    {
        return queue.enqueue(request, account, route, deadline, now).has_value();
    }

    std::optional<RequestId> next(Instant now) override
    {
        return queue.next(now);
    }

    std::vector<RequestId> expired(Instant now) override
    {
        return queue.expired(now);
    }

    void finished(RequestId request, Duration slotTime, Instant now) override
    {
        queue.finished(request, slotTime, now);
    }

    std::size_t waiting() const override
    {
        return queue.waiting();
    }

    Duration retryAfter(AccountIndex account, Instant now) const override
    {
        return queue.retryAfter(account, now);
    }

    FairQueue queue;
};

// A bounded queue in order of arrival. Requests whose deadline has passed are dropped when they reach the head.
class FifoScheduler : public Scheduler
{
public:
    explicit FifoScheduler(std::size_t bound)
        : m_bound(bound)
    {
    }

    bool offer(RequestId request, AccountIndex account, std::uint16_t, Instant deadline, Instant now) override
    {
        const auto limit = m_limits.find(account);
        if (limit != m_limits.end() && !limit->second.admits(now)) {
            return false;
        }
        if (m_queue.size() >= m_bound) {
            return false;
        }
        if (limit != m_limits.end()) {
            limit->second.take(now);
        }
        m_queue.push_back({ request, deadline });
        return true;
    }

    std::optional<RequestId> next(Instant now) override
    {
        while (!m_queue.empty() && m_queue.front().deadline <= now) {
            m_expired.push_back(m_queue.front().request);
            m_queue.pop_front();
        }
        if (m_queue.empty()) {
            return std::nullopt;
        }
        const RequestId request = m_queue.front().request;
        m_queue.pop_front();
        return request;
    }

    std::vector<RequestId> expired(Instant) override
    {
        return std::exchange(m_expired, {});
    }

    void finished(RequestId, Duration, Instant) override
    {
    }

    std::size_t waiting() const override
    {
        return m_queue.size();
    }

    Duration retryAfter(AccountIndex, Instant) const override
    {
        return Millis(100);
    }

    void limit(AccountIndex account, double requestsPerSecond, Instant now)
    {
        m_limits[account].setRate(requestsPerSecond, std::max(requestsPerSecond * BurstSeconds, 1.0), now);
    }

private:
    static constexpr double BurstSeconds = 0.05;

    struct Waiting {
        RequestId request;
        Instant deadline;
    };

    std::size_t m_bound;
    std::deque<Waiting> m_queue;
    std::vector<RequestId> m_expired;
    std::unordered_map<AccountIndex, TokenBucket> m_limits;
};

} // namespace mulberryplank::fairnessmodel
