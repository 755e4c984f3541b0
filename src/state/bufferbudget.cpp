#include "mulberryplank/state/bufferbudget.h"

#include <algorithm>
#include <array>
#include <map>
#include <mutex>

namespace mulberryplank
{

namespace internal
{

// The state of a budget, shared with its leases.
class BufferPool : public boost::intrusive_ref_counter<BufferPool>
{
public:
    explicit BufferPool(std::size_t total)
        : m_total(total)
    {
    }

    std::size_t total() const
    {
        const std::lock_guard lock(m_mutex);
        return m_total;
    }

    void setTotal(std::size_t total)
    {
        const std::lock_guard lock(m_mutex);
        m_total = total;
    }

    std::size_t heldBytes(BufferUse use) const
    {
        const std::lock_guard lock(m_mutex);
        return m_held.at(static_cast<std::size_t>(use));
    }

    std::uint64_t refusals(BufferUse use) const
    {
        const std::lock_guard lock(m_mutex);
        return m_refusals.at(static_cast<std::size_t>(use));
    }

    // Grants a user further bytes if it then holds no more than is free.
    bool grow(BufferUse use, const std::string &user, std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_users.find({ use, user });
        const std::size_t ownBytes = (found == m_users.end() ? 0 : found->second) + bytes;
        const std::size_t allBytes = m_held[0] + m_held[1] + bytes;
        if (allBytes > m_total || ownBytes > m_total - allBytes) {
            return false;
        }
        m_users[{ use, user }] = ownBytes;
        m_held.at(static_cast<std::size_t>(use)) += bytes;
        return true;
    }

    void noteRefusal(BufferUse use)
    {
        const std::lock_guard lock(m_mutex);
        ++m_refusals.at(static_cast<std::size_t>(use));
    }

    void release(BufferUse use, const std::string &user, std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_users.find({ use, user });
        found->second -= bytes;
        m_held.at(static_cast<std::size_t>(use)) -= bytes;
        if (found->second == 0) {
            m_users.erase(found);
        }
    }

private:
    mutable std::mutex m_mutex;
    std::size_t m_total;
    std::map<std::pair<BufferUse, std::string>, std::size_t> m_users; // that hold something
    std::array<std::size_t, 2> m_held {}; // by use
    std::array<std::uint64_t, 2> m_refusals {}; // by use
};

namespace
{

std::size_t countedBytes(std::size_t bytes)
{
    return bytes - std::min(bytes, BufferBudget::UncountedBytes);
}

} // namespace

} // namespace internal

std::string_view toString(BufferUse use)
{
    constexpr std::array<std::string_view, 2> Names { "request", "response" };
    return Names.at(static_cast<std::size_t>(use));
}

BufferLease::BufferLease() = default;

BufferLease::BufferLease(boost::intrusive_ptr<internal::BufferPool> pool, BufferUse use, std::string_view user)
    : m_pool(std::move(pool))
    , m_use(use)
    , m_user(user)
{
}

BufferLease::BufferLease(BufferLease &&other) noexcept
    : m_pool(std::move(other.m_pool))
    , m_use(other.m_use)
    , m_user(std::move(other.m_user))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

BufferLease &BufferLease::operator=(BufferLease &&other) noexcept
{
    std::swap(m_pool, other.m_pool);
    std::swap(m_use, other.m_use);
    std::swap(m_user, other.m_user);
    std::swap(m_bytes, other.m_bytes);
    other.returnBytes();
    return *this;
}

BufferLease::~BufferLease()
{
    returnBytes();
}

// Doubles the size where it can, so that the bytes that are copied stay proportional to the size of the buffer.
bool BufferLease::reserve(std::string &buffer, std::size_t bytes, std::size_t most)
{
    if (bytes <= m_bytes) {
        return true;
    }
    const bool granted = grow(std::min(std::max(bytes, 2 * m_bytes), std::max(bytes, most))) || grow(bytes);
    if (granted) {
        buffer.reserve(m_bytes);
    } else if (m_pool) {
        m_pool->noteRefusal(m_use);
    }
    return granted;
}

// An assignment of an empty string would keep the capacity.
void BufferLease::release(std::string &buffer)
{
    std::string().swap(buffer);
    returnBytes();
}

void BufferLease::returnBytes()
{
    const std::size_t counted = internal::countedBytes(m_bytes);
    if (counted > 0) {
        m_pool->release(m_use, m_user, counted);
    }
    m_bytes = 0;
}

// Grows the lease to `bytes` in all.
bool BufferLease::grow(std::size_t bytes)
{
    const std::size_t counted = internal::countedBytes(bytes) - internal::countedBytes(m_bytes);
    if (counted > 0 && (!m_pool || !m_pool->grow(m_use, m_user, counted))) {
        return false;
    }
    m_bytes = bytes;
    return true;
}

BufferBudget::BufferBudget(std::size_t total)
    : m_pool(new internal::BufferPool(total))
{
}

BufferBudget::BufferBudget()
    : BufferBudget(DefaultTotal)
{
}

BufferBudget::~BufferBudget() = default;

void BufferBudget::setTotal(std::size_t total)
{
    m_pool->setTotal(total);
}

BufferLease BufferBudget::lease(BufferUse use, std::string_view user) const
{
    return { m_pool, use, user };
}

std::size_t BufferBudget::largestBuffer() const
{
    return m_pool->total() / 2 + UncountedBytes;
}

std::size_t BufferBudget::heldBytes(BufferUse use) const
{
    return m_pool->heldBytes(use);
}

std::uint64_t BufferBudget::refusals(BufferUse use) const
{
    return m_pool->refusals(use);
}

} // namespace mulberryplank
