#include "mulberryplank/policy/accountallowance.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr AccountLimit Limit { 10, 20 };

int takeAll(AccountAllowance &allowance, Instant now)
{
    int taken = 0;
    while (allowance.tryTake(now)) {
        ++taken;
    }
    return taken;
}

} // namespace

TEST_GROUP(AccountAllowance) {};

TEST(AccountAllowance, burstAndThenTheRateAreAdmitted)
{
    AccountAllowance allowance;
    allowance.configure(Limit, 1, 1, Start);
    CHECK_EQUAL(20, takeAll(allowance, Start));
    CHECK_EQUAL(10, takeAll(allowance, Start + Seconds(1)));
    CHECK_EQUAL(20, takeAll(allowance, Start + Seconds(60)));
}

TEST(AccountAllowance, partOfALimitIsEarned)
{
    AccountAllowance allowance;
    allowance.configure(Limit, 0.5, 1, Start);
    CHECK_EQUAL(10, takeAll(allowance, Start));
    CHECK_EQUAL(5, takeAll(allowance, Start + Seconds(1)));
}

// Guards against a process that uses what its predecessor has just used.
TEST(AccountAllowance, mayStartWithoutAnything)
{
    AccountAllowance allowance;
    allowance.configure(Limit, 1, 0, Start);
    CHECK_EQUAL(0, takeAll(allowance, Start));
    CHECK_EQUAL(10, takeAll(allowance, Start + Seconds(1)));
}

TEST(AccountAllowance, lowerLimitHoldsAtOnce)
{
    AccountAllowance allowance;
    allowance.configure(Limit, 1, 1, Start);
    allowance.configure({ 1, 2 }, 1, 1, Start);
    CHECK_EQUAL(2, takeAll(allowance, Start));
    CHECK_EQUAL(1, takeAll(allowance, Start + Seconds(1)));
}

TEST(AccountAllowance, changedLimitGrantsNothingAnew)
{
    AccountAllowance allowance;
    allowance.configure(Limit, 1, 1, Start);
    takeAll(allowance, Start);
    allowance.configure({ 100, 200 }, 1, 1, Start);
    CHECK_EQUAL(0, takeAll(allowance, Start));
}

TEST(AccountAllowance, burstBelowOneRequestCountsAsOne)
{
    AccountAllowance allowance;
    allowance.configure({ 0.5, 0 }, 1, 1, Start);
    CHECK_EQUAL(1, takeAll(allowance, Start));
    CHECK_EQUAL(0, takeAll(allowance, Start + Seconds(1)));
    CHECK_EQUAL(1, takeAll(allowance, Start + Seconds(2)));
}

TEST(AccountAllowance, fractionsAreBorrowedToAWholeRequest)
{
    AccountAllowance lender;
    AccountAllowance borrower;
    lender.configure({ 1, 1 }, 0.5, 1, Start);
    borrower.configure({ 1, 1 }, 0.5, 1, Start);
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
    AccountAllowance lender;
    lender.configure({ 1, 1 }, 0.5, 1, Start);
    DOUBLES_EQUAL(0, lender.lend(0.6, 1, Start), 0);
    DOUBLES_EQUAL(0.5, lender.lend(0.4, 1, Start), 1e-9);
}

TEST(AccountAllowance, loanEndsUnused)
{
    AccountAllowance borrower;
    borrower.configure(Limit, 0, 1, Start);
    borrower.borrow(2, Start + Millis(500));
    CHECK_TRUE(borrower.tryTake(Start + Millis(499)));
    CHECK_FALSE(borrower.tryTake(Start + Millis(500)));
}

// Guards against a burst that is used twice: by the borrower and, earned anew, by the lender.
TEST(AccountAllowance, lentBurstIsEarnedAnewOnlyAfterTheLoan)
{
    AccountAllowance lender;
    lender.configure({ 1'000, 20 }, 1, 1, Start);
    DOUBLES_EQUAL(20, lender.lend(1, 30, Start), 1e-9);
    CHECK_EQUAL(0, takeAll(lender, Start + AllowanceLoanLifetime / 2));
    CHECK_EQUAL(20, takeAll(lender, Start + AllowanceLoanLifetime + Millis(20)));
}

TEST(AccountAllowance, requestThatHasNotRunIsGivenBack)
{
    AccountAllowance allowance;
    allowance.configure(Limit, 1, 1, Start);
    takeAll(allowance, Start);
    allowance.giveBack(Start);
    CHECK_EQUAL(1, takeAll(allowance, Start));
}

TEST(AccountAllowance, refusedRequestsGetTurnsOneAfterTheOther)
{
    AccountAllowance allowance;
    allowance.configure(Limit, 1, 0, Start);
    CHECK_TRUE(allowance.nextTurn(Start) == Duration(Millis(100)));
    CHECK_TRUE(allowance.nextTurn(Start) == Duration(Millis(200)));
    CHECK_TRUE(allowance.nextTurn(Start + Seconds(5)) == Duration(Millis(100)));
}

// Guards against processes that together admit more than the limit, whatever they lend and lose.
TEST(AccountAllowance, processesThatLendStayWithinTheLimit)
{
    CHECK_TRUE(rc::check("limit over any period", [] {
        const int processes = *rc::gen::inRange(1, 7);
        const double perSecond = *rc::gen::inRange(1, 50);
        const double burst = *rc::gen::inRange(1, 50);
        std::vector<AccountAllowance> fleet(static_cast<std::size_t>(processes));
        for (AccountAllowance &allowance : fleet) {
            allowance.configure({ perSecond, burst }, 1.0 / processes, 1, Start);
        }
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
        for (std::size_t first = 0; first < admitted.size(); ++first) {
            for (std::size_t last = first; last < admitted.size(); ++last) {
                const double allowed = toSeconds(admitted[last] - admitted[first]) * perSecond + burst;
                RC_ASSERT(static_cast<double>(last - first + 1) <= allowed + 1e-6);
            }
        }
    }));
}
