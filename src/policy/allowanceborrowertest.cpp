#include "mulberryplank/policy/allowanceborrower.h"

#include <CppUTest/TestHarness.h>

#include "mulberryplank/policy/accountallowance.h"

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };

} // namespace

TEST_GROUP(AllowanceBorrower) {};

TEST(AllowanceBorrower, asksOneLenderAfterTheOther)
{
    AllowanceBorrower borrower;
    const std::optional<AllowanceRequest> first = borrower.next(3, Start);
    CHECK_TRUE(borrower.awaitsResponse(Start));
    CHECK_FALSE(borrower.next(3, Start).has_value());
    CHECK_FALSE(borrower.accept(first->number, 0, Start + Millis(1)).has_value());
    const std::optional<AllowanceRequest> second = borrower.next(3, Start + Millis(1));
    CHECK_TRUE(second->lender != first->lender);
}

TEST(AllowanceBorrower, silentLenderIsPassedOver)
{
    AllowanceBorrower borrower;
    const std::optional<AllowanceRequest> first = borrower.next(2, Start);
    const std::optional<AllowanceRequest> second = borrower.next(2, Start + Millis(20));
    CHECK_TRUE(second->lender != first->lender);
    CHECK_FALSE(borrower.accept(first->number, 1, Start + Millis(21)).has_value());
    CHECK_TRUE(borrower.accept(second->number, 1, Start + Millis(21)).has_value());
}

TEST(AllowanceBorrower, loanCountsOnceAndUntilItsRequestIsOld)
{
    AllowanceBorrower borrower;
    const std::optional<AllowanceRequest> request = borrower.next(2, Start);
    CHECK_TRUE(borrower.accept(request->number, 1, Start + Millis(3)) == Start + AllowanceLoanLifetime);
    CHECK_FALSE(borrower.accept(request->number, 1, Start + Millis(3)).has_value());
}

// Guards against a query for each request of an account that has used up its limit.
TEST(AllowanceBorrower, pausesLongerEachTimeNoLenderHasAnything)
{
    AllowanceBorrower borrower;
    int queries = 0;
    for (Instant now = Start; now < Start + Seconds(10); now += Millis(1)) {
        const std::optional<AllowanceRequest> request = borrower.next(5, now);
        if (request) {
            ++queries;
            borrower.accept(request->number, 0, now);
        }
    }
    CHECK_TRUE(queries <= 5 * (10 / 0.2 + 3));
    CHECK_TRUE(queries >= 5 * (10 / 0.4));
}

TEST(AllowanceBorrower, asksNobodyWithoutLenders)
{
    AllowanceBorrower borrower;
    CHECK_FALSE(borrower.next(0, Start).has_value());
    CHECK_FALSE(borrower.awaitsResponse(Start));
}
