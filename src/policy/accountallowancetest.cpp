#include "mulberryplank/policy/accountallowance.h"

#include <numeric>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr AccountLimit Limit { 10, 20 };
constexpr AllowanceSettings Window {}; // in which the limit allows 70 requests

int takeAll(AccountAllowance &allowance, Instant now)
{
    int taken = 0;
    while (allowance.tryTake(now)) {
        ++taken;
    }
    return taken;
}

AccountAllowance configured(const AccountLimit &limit, double part, bool isNew = false, double initialRequests = 0)
{
    AccountAllowance allowance(Window);
    allowance.configure(limit, part, isNew, initialRequests, Start);
    return allowance;
}

} // namespace

TEST_GROUP(AccountAllowance) {};

TEST(AccountAllowance, burstIsAdmittedAtOnce)
{
    AccountAllowance allowance = configured(Limit, 1);
    CHECK_EQUAL(20, takeAll(allowance, Start));
    CHECK_EQUAL(20, takeAll(allowance, Start + Seconds(60)));
}

TEST(AccountAllowance, lastingDemandUsesWhatTheLimitAllowsInEachWindow)
{
    AccountAllowance allowance = configured(Limit, 1);
    int taken = 0;
    for (Instant now = Start; now < Start + Seconds(30); now += Millis(10)) {
        taken += takeAll(allowance, now);
    }
    CHECK_TRUE(taken <= 6 * 70);
    CHECK_TRUE(taken >= 0.95 * 6 * 70);
}

TEST(AccountAllowance, partOfALimitIsAdmitted)
{
    AccountAllowance allowance = configured(Limit, 0.5);
    CHECK_EQUAL(10, takeAll(allowance, Start));
    CHECK_EQUAL(7, takeAll(allowance, Start + Seconds(1)));
}

// Guards against requests that are refused because callers don't send at even intervals.
TEST(AccountAllowance, limitWithoutABurstAdmitsTheRequestsOfASecondAtOnce)
{
    AccountAllowance allowance = configured({ 10, 0 }, 1);
    CHECK_EQUAL(10, takeAll(allowance, Start));
    CHECK_EQUAL(10, takeAll(allowance, Start + Seconds(1)));
}

// Guards against a process that uses what its predecessor has just used.
TEST(AccountAllowance, newPartStartsEmptyAndSlowly)
{
    AccountAllowance allowance = configured(Limit, 1, true);
    CHECK_EQUAL(0, takeAll(allowance, Start));
    CHECK_EQUAL(10, takeAll(allowance, Start + Seconds(1)));
    CHECK_EQUAL(10, takeAll(allowance, Start + Seconds(2)));
}

TEST(AccountAllowance, newPartStartsWithWhatNobodyUsed)
{
    AccountAllowance allowance = configured(Limit, 1, true, 5);
    CHECK_EQUAL(5, takeAll(allowance, Start));
    AccountAllowance small = configured({ 1, 2 }, 1, true, 5);
    CHECK_EQUAL(2, takeAll(small, Start));
}

// Guards against an account that is served nothing for a window after its limit has been lowered.
TEST(AccountAllowance, lowerLimitIsUsedFromTheStartAndHoldsInEachWindow)
{
    constexpr AccountLimit Lowered { 2, 4 };
    constexpr int AllowedInAWindow = 14;
    AccountAllowance allowance = configured(Limit, 1);
    Instant now = Start;
    for (; now < Start + Seconds(10); now += Millis(10)) {
        takeAll(allowance, now);
    }
    const Instant loweredAt = now;
    allowance.configure(Lowered, 1, false, 0, now);
    std::vector<int> served; // in each second
    for (; now < loweredAt + Seconds(15); now += Millis(10)) {
        served.resize(static_cast<std::size_t>((now - loweredAt) / Seconds(1)) + 1);
        served.back() += takeAll(allowance, now);
    }
    CHECK_TRUE(served[0] + served[1] >= 4);
    for (std::size_t second = 0; second + 5 <= served.size(); ++second) {
        const auto first = served.begin() + static_cast<std::ptrdiff_t>(second);
        const int used = std::accumulate(first, first + 5, 0);
        CHECK_TRUE(used <= AllowedInAWindow);
        CHECK_TRUE(used >= AllowedInAWindow - 2);
    }
}

TEST(AccountAllowance, whatWasUsedOfALowerLimitCountsInFullOfAHigherOne)
{
    AccountAllowance allowance = configured({ 0.001, 20 }, 1);
    takeAll(allowance, Start);
    allowance.configure({ 0.001, 2 }, 1, false, 0, Start);
    allowance.configure({ 0.001, 20 }, 1, false, 0, Start);
    CHECK_EQUAL(0, takeAll(allowance, Start + Seconds(5)));
}

TEST(AccountAllowance, changedLimitGrantsNoBurst)
{
    AccountAllowance allowance = configured(Limit, 1);
    takeAll(allowance, Start);
    allowance.configure({ 100, 200 }, 1, false, 0, Start);
    CHECK_EQUAL(0, takeAll(allowance, Start));
}

TEST(AccountAllowance, burstBelowOneRequestCountsAsOne)
{
    AccountAllowance allowance = configured({ 0.5, 0 }, 1);
    CHECK_EQUAL(1, takeAll(allowance, Start));
    CHECK_EQUAL(0, takeAll(allowance, Start + Seconds(1)));
    CHECK_EQUAL(1, takeAll(allowance, Start + Seconds(2)));
}

TEST(AccountAllowance, fractionsAreBorrowedToAWholeRequest)
{
    AccountAllowance lender = configured({ 1, 1 }, 0.5);
    AccountAllowance borrower = configured({ 1, 1 }, 0.5);
    CHECK_FALSE(borrower.tryTake(Start));
    DOUBLES_EQUAL(0.5, borrower.missing(Start), 1e-9);
    borrower.borrow(lender.lend(borrower.missing(Start), 1, Start), Start + AllowanceLoanLifetime);
    CHECK_TRUE(borrower.tryTake(Start));
    CHECK_FALSE(borrower.tryTake(Start));
    DOUBLES_EQUAL(0, lender.lend(0, 1, Start), 1e-9);
}

// Guards against fractions that are lent to several processes, none of which has enough for a request.
TEST(AccountAllowance, lessThanIsNeededIsNotLent)
{
    AccountAllowance lender = configured({ 1, 1 }, 0.5);
    DOUBLES_EQUAL(0, lender.lend(0.6, 1, Start), 0);
    DOUBLES_EQUAL(0.5, lender.lend(0.4, 1, Start), 1e-9);
}

TEST(AccountAllowance, loanEndsUnused)
{
    AccountAllowance borrower = configured(Limit, 0);
    borrower.borrow(2, Start + Millis(500));
    CHECK_TRUE(borrower.tryTake(Start + Millis(499)));
    CHECK_FALSE(borrower.tryTake(Start + Millis(500)));
}

// Guards against requests that count for the lender while the borrower still may send them.
TEST(AccountAllowance, loanCountsForTheLenderUntilItsLastUseIsAWindowAgo)
{
    AccountAllowance lender = configured({ 0.001, 20 }, 1);
    DOUBLES_EQUAL(20, lender.lend(1, 30, Start), 1e-9);
    CHECK_EQUAL(0, takeAll(lender, Start + Window.window));
    CHECK_TRUE(takeAll(lender, Start + Window.window + AllowanceLoanLifetime + Millis(50)) >= 19);
}

TEST(AccountAllowance, requestThatHasNotRunIsGivenBack)
{
    AccountAllowance allowance = configured(Limit, 1);
    takeAll(allowance, Start);
    allowance.giveBack(Start);
    CHECK_EQUAL(1, takeAll(allowance, Start));
}

TEST(AccountAllowance, refusedRequestsGetTurnsOneAfterTheOther)
{
    AccountAllowance allowance = configured(Limit, 1);
    CHECK_TRUE(allowance.nextTurn(Start) == Duration(Millis(100)));
    CHECK_TRUE(allowance.nextTurn(Start) == Duration(Millis(200)));
    CHECK_TRUE(allowance.nextTurn(Start + Seconds(5)) == Duration(Millis(100)));
}

// Guards against processes that together admit more than the limit, whatever they lend and lose.
TEST(AccountAllowance, processesThatLendStayWithinTheLimit)
{
    CHECK_TRUE(rc::check("limit over any window", [] {
        const auto processes = *rc::gen::inRange<std::size_t>(1, 7);
        const double perSecond = *rc::gen::inRange(1, 50);
        const double burst = *rc::gen::inRange(1, 50);
        std::vector<AccountAllowance> fleet(processes,
                                            configured({ perSecond, burst }, 1.0 / static_cast<double>(processes)));
        std::vector<Instant> admitted;
        Instant now = Start;
        for (int step = 0; step < 400; ++step) {
            now += Millis(*rc::gen::inRange(0, 60));
            AccountAllowance &borrower = fleet[*rc::gen::inRange<std::size_t>(0, fleet.size())];
            AccountAllowance &lender = fleet[*rc::gen::inRange<std::size_t>(0, fleet.size())];
            const int action = *rc::gen::inRange(0, 4);
            if (action == 0 && &borrower != &lender) {
                const double lent = lender.lend(*rc::gen::inRange(0, 15) / 10.0, *rc::gen::inRange(0, 30) / 10.0, now);
                const bool isLost = *rc::gen::inRange(0, 4) == 0;
                if (!isLost) {
                    borrower.borrow(lent, now + AllowanceLoanLifetime);
                }
            }
            while (action != 0 && borrower.tryTake(now)) {
                admitted.push_back(now);
            }
        }
        const double allowed = toSeconds(Window.window) * perSecond + burst;
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted.size(); ++last) {
            while (admitted[last] - admitted[first] > Window.window) {
                ++first;
            }
            RC_ASSERT(static_cast<double>(last - first + 1) <= allowed + 1e-6);
        }
    }));
}
