#include "mulberryplank/state/bufferbudget.h"

#include <memory>
#include <optional>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // redefines `new`, so it must come last

using namespace mulberryplank;

namespace
{

constexpr std::size_t Uncounted = BufferBudget::UncountedBytes;

// A buffer with its lease.
struct LeasedBuffer {
    LeasedBuffer(const BufferBudget &budget, BufferUse use, std::string_view user)
        : lease(budget.lease(use, user))
    {
    }

    bool grow(std::size_t bytes)
    {
        return lease.reserve(buffer, bytes, bytes);
    }

    std::string buffer;
    BufferLease lease;
};

} // namespace

TEST_GROUP(BufferBudget)
{
    BufferBudget budget { 1'000 };
    LeasedBuffer first { budget, BufferUse::ResponseBody, "first" };
    LeasedBuffer second { budget, BufferUse::ResponseBody, "second" };

    std::size_t held() const
    {
        return budget.heldBytes(BufferUse::ResponseBody);
    }
};

TEST(BufferBudget, smallBuffersAreNotCounted)
{
    CHECK_TRUE(first.grow(Uncounted));
    LONGS_EQUAL(0, held());
    CHECK_TRUE(first.grow(Uncounted + 1));
    LONGS_EQUAL(1, held());
}

TEST(BufferBudget, oneUserGetsHalf)
{
    CHECK_TRUE(first.grow(Uncounted + 500));
    CHECK_FALSE(first.grow(Uncounted + 501));
    LONGS_EQUAL(Uncounted + 500, budget.largestBuffer());
    LONGS_EQUAL(500, held());
    LONGS_EQUAL(1, budget.refusals(BufferUse::ResponseBody));
}

// Guards against one user whose buffers keep all others from theirs.
TEST(BufferBudget, anotherUserFindsRoomBesideOneThatTakesAllItCan)
{
    CHECK_TRUE(first.grow(Uncounted + 500));
    CHECK_TRUE(second.grow(Uncounted + 250));
    CHECK_FALSE(second.grow(Uncounted + 251));
}

TEST(BufferBudget, buffersOfOneUserShareItsPart)
{
    LeasedBuffer other(budget, BufferUse::ResponseBody, "first");
    CHECK_TRUE(first.grow(Uncounted + 300));
    CHECK_FALSE(other.grow(Uncounted + 300));
    CHECK_TRUE(other.grow(Uncounted + 200));
}

TEST(BufferBudget, usersOfDifferentUsesAreDifferent)
{
    LeasedBuffer request(budget, BufferUse::RequestBody, "first");
    CHECK_TRUE(first.grow(Uncounted + 500));
    CHECK_TRUE(request.grow(Uncounted + 250));
    LONGS_EQUAL(250, budget.heldBytes(BufferUse::RequestBody));
}

TEST(BufferBudget, aReleasedLeaseFreesItsBufferAndReturnsItsBytes)
{
    CHECK_TRUE(first.grow(Uncounted + 500));
    first.lease.release(first.buffer);
    LONGS_EQUAL(0, held());
    CHECK_TRUE(first.buffer.capacity() < Uncounted);
    CHECK_TRUE(second.grow(Uncounted + 500));
}

TEST(BufferBudget, aMovedLeaseKeepsItsBytesAndReturnsThoseItReplaces)
{
    CHECK_TRUE(first.grow(Uncounted + 300));
    CHECK_TRUE(second.grow(Uncounted + 100));
    second.lease = std::move(first.lease);
    LONGS_EQUAL(300, held());
    second.lease = BufferLease();
    LONGS_EQUAL(0, held());
}

TEST(BufferBudget, aLeaseMayOutliveItsBudget)
{
    std::optional<BufferBudget> shortLived(std::in_place, 1'000);
    LeasedBuffer buffer(*shortLived, BufferUse::RequestBody, "a");
    CHECK_TRUE(buffer.grow(Uncounted + 100));
    shortLived.reset();
    CHECK_FALSE(buffer.grow(Uncounted + 600));
}

TEST(BufferBudget, aLeaseOfNoBudgetHoldsASmallBuffer)
{
    BufferLease lease;
    std::string buffer;
    CHECK_TRUE(lease.reserve(buffer, Uncounted, Uncounted));
    CHECK_FALSE(lease.reserve(buffer, Uncounted + 1, Uncounted + 1));
}

TEST(BufferBudget, aGrowingBufferIsReservedAheadWithinItsBound)
{
    CHECK_TRUE(first.lease.reserve(first.buffer, Uncounted, 2 * Uncounted));
    CHECK_FALSE(first.lease.reserve(first.buffer, 2 * Uncounted, 2 * Uncounted));
    CHECK_TRUE(first.lease.reserve(first.buffer, Uncounted + 10, Uncounted + 20));
    LONGS_EQUAL(20, held());
    CHECK_TRUE(first.buffer.capacity() >= Uncounted + 20);
}

TEST(BufferBudget, heldBytesNeverExceedTheTotalAndEachUserKeepsRoomForAnother)
{
    CHECK_TRUE(rc::check("held bytes and room for another user", [] {
        constexpr std::size_t Total = 10'000;
        const BufferBudget drawn(Total);
        std::vector<std::unique_ptr<LeasedBuffer>> buffers;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 6'000)));
        for (const auto &[user, bytes] : steps) {
            auto buffer = std::make_unique<LeasedBuffer>(drawn, BufferUse::RequestBody, std::to_string(user));
            if (buffer->grow(Uncounted + static_cast<std::size_t>(bytes))) {
                buffers.push_back(std::move(buffer));
            } else if (!buffers.empty()) {
                buffers.erase(buffers.begin());
            }
            RC_ASSERT(drawn.heldBytes(BufferUse::RequestBody) < Total);
        }
        LeasedBuffer newcomer(drawn, BufferUse::RequestBody, "newcomer");
        const std::size_t left = Total - drawn.heldBytes(BufferUse::RequestBody);
        RC_ASSERT(newcomer.grow(Uncounted + left / 2));
        buffers.clear();
        newcomer.lease.release(newcomer.buffer);
        RC_ASSERT(drawn.heldBytes(BufferUse::RequestBody) == 0U);
    }));
}
