#include "mulberryplank/policy/budgetloan.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };

} // namespace

TEST_GROUP(BudgetLoan)
{
    BudgetLoan loan;
};

TEST(BudgetLoan, SendsOneRequestAtATimeUntilTheResponseIsOverdue)
{
    CHECK(loan.startRequest(Start).has_value());
    CHECK_FALSE(loan.startRequest(Start + Millis(10)).has_value());
    CHECK(loan.startRequest(Start + Millis(60)).has_value());
}

TEST(BudgetLoan, ResponseCountsOnce)
{
    const std::uint64_t number = *loan.startRequest(Start);
    CHECK(*loan.accept(number, Start + Millis(2)) == Start + LoanLifetime);
    CHECK_FALSE(loan.accept(number, Start + Millis(3)).has_value());
}

// Guards against the fleet exceeding its budget when the network delays or reorders responses.
TEST(BudgetLoan, LateResponseOrResponseToAnEarlierRequestIsIgnored)
{
    const std::uint64_t late = *loan.startRequest(Start);
    CHECK_FALSE(loan.accept(late, Start + LoanLifetime).has_value());
    const std::uint64_t earlier = *loan.startRequest(Start + Seconds(2));
    CHECK(loan.startRequest(Start + Seconds(3)).has_value());
    CHECK_FALSE(loan.accept(earlier, Start + Seconds(3)).has_value());
}
