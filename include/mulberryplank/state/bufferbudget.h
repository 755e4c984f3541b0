#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace mulberryplank
{

// What a buffer holds.
enum class BufferUse : std::uint8_t {
    RequestBody,
    ResponseBody,
};

// Returns the name of `use` as used in metrics.
std::string_view toString(BufferUse use);

namespace internal
{

class BufferPool;

} // namespace internal

// The bytes that one buffer takes of a BufferBudget. Returns them when it is destroyed, and may outlive the budget.
// Thread-compatible.
class BufferLease
{
public:
    // Returns a lease that belongs to no budget. It can't grow beyond BufferBudget::UncountedBytes.
    BufferLease();
    BufferLease(boost::intrusive_ptr<internal::BufferPool> pool, BufferUse use, std::string_view user);
    BufferLease(BufferLease &&other) noexcept;
    BufferLease &operator=(BufferLease &&other) noexcept;
    BufferLease(const BufferLease &) = delete;
    BufferLease &operator=(const BufferLease &) = delete;
    ~BufferLease();

    // Grows the lease and the capacity of `buffer` so that it can hold `bytes`, which may be more than is needed right
    // away, but not more than `most`. Returns false, and changes nothing, if the budget doesn't allow it.
    bool reserve(std::string &buffer, std::size_t bytes, std::size_t most);

    // Frees the memory of `buffer` and returns its bytes to the budget.
    void release(std::string &buffer);

private:
    void returnBytes();
    bool grow(std::size_t bytes);

    boost::intrusive_ptr<internal::BufferPool> m_pool;
    BufferUse m_use = BufferUse::RequestBody;
    std::string m_user;
    std::size_t m_bytes = 0;
};

// Bounds the memory of the bodies that a process holds. Each user, such as a client account or a service, may hold as
// much as is still free: one user alone gets half of the budget, two get a third each. So there is always room for a
// user that holds nothing. The first bytes of each buffer aren't counted; the number of connections bounds them.
// Thread-safe.
class BufferBudget
{
public:
    static constexpr std::size_t UncountedBytes = 16 * 1024; // of each buffer
    static constexpr std::size_t DefaultTotal = 128 * 1024 * 1024; // bytes

    // `total`: bytes of all buffers together, without those that aren't counted.
    explicit BufferBudget(std::size_t total);
    BufferBudget();
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;
    ~BufferBudget();

    // Changes the bytes of all buffers together. What is held beyond that isn't taken back.
    void setTotal(std::size_t total);

    // Returns an empty lease for a buffer of that user. Users of different uses are different, whatever their names.
    BufferLease lease(BufferUse use, std::string_view user) const;

    // Returns the size of the largest buffer that can be granted, in bytes.
    std::size_t largestBuffer() const;

    // Returns the counted bytes that buffers of that use hold.
    std::size_t heldBytes(BufferUse use) const;

    // Returns how often a buffer of that use could not grow.
    std::uint64_t refusals(BufferUse use) const;

private:
    boost::intrusive_ptr<internal::BufferPool> m_pool;
};

} // namespace mulberryplank
