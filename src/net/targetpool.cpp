#include "mulberryplank/net/targetpool.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// A request must reach the target before the target closes the connection. Targets announce the time in whole seconds.
// The margin covers a value that was rounded up.
constexpr Duration KeepAliveMargin = Seconds(1);

} // namespace

// Returns how long the connection may be idle and still be used, up to `maxIdle`.
Duration idleLimit(const TargetConnection &connection, Duration maxIdle)
{
    return connection.keepAliveTimeout ? std::min(maxIdle, *connection.keepAliveTimeout - KeepAliveMargin) : maxIdle;
}

} // namespace internal

TargetPool::TargetPool(DataExecutor executor, TimerWheel &wheel, Settings settings)
    : m_executor(executor)
    , m_wheel(wheel)
    , m_settings(settings)
{
}

TargetPool::~TargetPool()
{
    for (auto &[endpoint, idle] : m_idle) {
        while (pop(idle)) {
        }
    }
}

// The list holds one reference for each connection in it. pop() transfers that reference to the caller.
TargetConnectionPtr TargetPool::pop(Idle &idle)
{
    if (idle.list.empty()) {
        return nullptr;
    }
    TargetConnection &connection = idle.list.back();
    idle.list.pop_back();
    --idle.size;
    return { &connection, false };
}

TargetConnectionPtr TargetPool::take(const Endpoint &endpoint, bool idempotent, Instant now, Duration maxIdle)
{
    const auto found = m_idle.find(toString(endpoint));
    if (found == m_idle.end()) {
        return nullptr;
    }
    while (TargetConnectionPtr connection = pop(found->second)) {
        const Duration age = now - connection->lastResponse;
        const Duration configured = idempotent ? m_settings.idleLimit : m_settings.nonIdempotentIdleLimit;
        const Duration limit = internal::idleLimit(*connection, std::min(maxIdle, configured));
        if (age <= limit && !connection->stream.hasUnexpectedInput()) {
            return connection;
        }
    }
    return nullptr;
}

bool TargetPool::has(const Endpoint &endpoint) const
{
    const auto found = m_idle.find(toString(endpoint));
    return found != m_idle.end() && found->second.size > 0;
}

bool TargetPool::hasOpen(const Endpoint &endpoint)
{
    const auto found = m_idle.find(toString(endpoint));
    if (found == m_idle.end()) {
        return false;
    }
    IdleList &list = found->second.list;
    return std::any_of(list.begin(), list.end(), [](TargetConnection &connection) {
        return !connection.stream.hasUnexpectedInput();
    });
}

void TargetPool::put(const Endpoint &endpoint, TargetConnectionPtr connection, Instant now)
{
    Idle &idle = m_idle[toString(endpoint)];
    if (idle.size >= m_settings.idlePerTarget || connection->stream.buffer().size() > 0) {
        return;
    }
    connection->stream.expiresNever();
    connection->lastResponse = now;
    connection->reused = true;
    idle.list.push_back(*connection.detach());
    ++idle.size;
}

TargetConnectionPtr TargetPool::create(Instant now)
{
    TargetConnectionPtr connection(new TargetConnection(DataSocket(m_executor), m_wheel));
    connection->openedAt = now;
    return connection;
}

TargetConnectionPtr TargetPool::adopt(DataSocket socket, Incarnation relay, InputEnd inputEnd)
{
    TargetConnectionPtr connection(new TargetConnection(std::move(socket), m_wheel, inputEnd));
    connection->relay = relay;
    return connection;
}

void TargetPool::closeRelayed(const std::function<bool(Incarnation)> &isUnusable)
{
    for (auto &[endpoint, idle] : m_idle) {
        idle.list.remove_and_dispose_if(
            [&isUnusable](const TargetConnection &connection) {
                return connection.relay != 0 && isUnusable(connection.relay);
            },
            [&idle = idle](TargetConnection *connection) {
                --idle.size;
                intrusive_ptr_release(connection);
            });
    }
}

void TargetPool::closeIdle(const Endpoint &endpoint)
{
    const auto found = m_idle.find(toString(endpoint));
    if (found == m_idle.end()) {
        return;
    }
    while (pop(found->second)) {
    }
}

void TargetPool::sweep(Instant now)
{
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        Idle &idle = entry->second;
        while (!idle.list.empty()
               && now - idle.list.front().lastResponse > internal::idleLimit(idle.list.front(), m_settings.idleLimit)) {
            TargetConnection &oldest = idle.list.front();
            idle.list.pop_front();
            --idle.size;
            intrusive_ptr_release(&oldest);
        }
        entry = idle.list.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

bool TargetPool::hasRelayed() const
{
    return std::any_of(m_idle.begin(), m_idle.end(), [](const auto &entry) {
        const IdleList &list = entry.second.list;
        return std::any_of(list.begin(), list.end(), [](const TargetConnection &connection) {
            return connection.relay != 0;
        });
    });
}

std::size_t TargetPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, idle] : m_idle) {
        count += idle.size;
    }
    return count;
}

} // namespace mulberryplank
