#include "mulberryplank/policy/windowbudget.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "mulberryplank/policy/budgetloan.h"

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };

} // namespace

TEST_GROUP(WindowBudget) {};

TEST(WindowBudget, fixedAllowanceNeedsNoRequestsAndIsRenewedAfterTheWindow)
{
    WindowBudget budget({ 0.2, Seconds(10), 2 });
    CHECK_TRUE(budget.trySpend(Start));
    CHECK_TRUE(budget.trySpend(Start));
    CHECK_FALSE(budget.trySpend(Start + Seconds(9)));
    CHECK_TRUE(budget.trySpend(Start + Seconds(12)));
}

TEST(WindowBudget, reserveIsNotSpent)
{
    WindowBudget budget({ 0, Seconds(10), 2 });
    CHECK_FALSE(budget.trySpend(Start, 2));
    CHECK_TRUE(budget.trySpend(Start, 1));
}

TEST(WindowBudget, whatRequestsAddIsKeptForASecondOrTwo)
{
    WindowBudget budget({ 0.2, Seconds(10), 0 });
    for (int request = 0; request < 50; ++request) {
        budget.onRequest(Start);
    }
    DOUBLES_EQUAL(10, budget.left(Start + Seconds(1)), 1e-9);
    DOUBLES_EQUAL(1, budget.left(Start + Seconds(2)), 1e-9);
    DOUBLES_EQUAL(0, budget.left(Start + Seconds(11)), 1e-9);
}

TEST(WindowBudget, countsFromTheBeginningOfTheClock)
{
    WindowBudget budget({ 0.2, Seconds(10), 1 });
    budget.onRequest(Instant {});
    CHECK_TRUE(budget.trySpend(Instant {}));
}

// Guards against a process with few requests never making an extra attempt.
TEST(WindowBudget, oneAttemptOfFewRequestsIsKeptForAWindow)
{
    WindowBudget budget({ 0.2, Seconds(10), 0 });
    for (int request = 0; request < 5; ++request) {
        budget.onRequest(Start + request * Millis(1'500));
    }
    CHECK_TRUE(budget.trySpend(Start + Seconds(9)));
    CHECK_FALSE(budget.trySpend(Start + Seconds(9)));
}

TEST(WindowBudget, noWindowExceedsRatioAndFixedAllowance)
{
    CHECK_TRUE(rc::check("sliding windows", [] {
        const double fixedAllowance = *rc::gen::inRange(0, 5);
        WindowBudget budget({ 0.25, Seconds(10), fixedAllowance });
        std::vector<Instant> requests;
        std::vector<Instant> spent;
        Instant now = Start;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            now += Millis(*rc::gen::inRange(0, 600));
            if (*rc::gen::inRange(0, 2) == 0) {
                budget.onRequest(now);
                requests.push_back(now);
            } else if (budget.trySpend(now)) {
                spent.push_back(now);
            }
        }
        for (const Instant begin : spent) {
            const auto within = [begin](Instant at) {
                return at >= begin && at < begin + Seconds(10);
            };
            // A window may use what its own requests and those of the two seconds before it add, and one attempt that
            // was kept for longer.
            const auto earlier = [begin](Instant at) {
                return at >= begin - Seconds(2) && at < begin + Seconds(10);
            };
            const auto extra = std::count_if(spent.begin(), spent.end(), within);
            const auto earned = std::count_if(requests.begin(), requests.end(), earlier);
            RC_ASSERT(static_cast<double>(extra) <= 0.25 * static_cast<double>(earned) + fixedAllowance + 1);
        }
    }));
}

TEST(WindowBudget, LentAttemptsCountAsSpentForTheLender)
{
    WindowBudget budget({ 0, Seconds(10), 3 });
    CHECK_FALSE(budget.tryLend(Start, 3));
    CHECK_TRUE(budget.tryLend(Start, 1));
    DOUBLES_EQUAL(2, budget.left(Start + Seconds(11)), 1e-9);
    DOUBLES_EQUAL(3, budget.left(Start + Seconds(14)), 1e-9);
}

TEST(WindowBudget, BorrowedAttemptsAreSpentBeforeTheyExpireOrLost)
{
    WindowBudget budget({ 0, Seconds(10), 0 });
    budget.borrow(Start + Seconds(1));
    budget.borrow(Start + Seconds(1));
    CHECK_TRUE(budget.trySpend(Start + Millis(900)));
    CHECK_FALSE(budget.trySpend(Start + Seconds(1)));
}

namespace
{

// Processes that share one budget by loans over a network that loses, delays and repeats messages.
class LendingFleet
{
public:
    explicit LendingFleet(std::size_t size, double fixedAllowance)
        : m_budgets(size, WindowBudget({ Ratio, Seconds(10), fixedAllowance }))
        , m_loans(size)
    {
    }

    void request(std::size_t process)
    {
        m_budgets[process].onRequest(now);
        requests.push_back(now);
    }

    void spend(std::size_t process)
    {
        if (m_budgets[process].trySpend(now)) {
            spent.push_back(now);
        }
    }

    // Requests a loan for `process` from `lender`. The response takes `delay` and arrives `copies` times.
    void requestLoan(std::size_t process, std::size_t lender, Duration delay, int copies)
    {
        const std::optional<std::uint64_t> number = m_loans[process].startRequest(now);
        if (process == lender || !number || !m_budgets[lender].tryLend(now, 0)) {
            return;
        }
        for (int copy = 0; copy < copies; ++copy) {
            m_responses.push_back({ now + delay, process, *number });
        }
    }

    void deliver()
    {
        for (const LoanResponse &response : m_responses) {
            if (response.at > now) {
                continue;
            }
            const std::optional<Instant> until = m_loans[response.to].accept(response.number, now);
            if (until) {
                m_budgets[response.to].borrow(*until);
            }
        }
        std::erase_if(m_responses, [this](const LoanResponse &response) {
            return response.at <= now;
        });
    }

    // Replaces a process. Its successor starts without a fixed allowance, as RetryAllowanceShare does.
    void restart(std::size_t process)
    {
        m_budgets[process] = WindowBudget({ Ratio, Seconds(10), 0 });
        m_loans[process] = BudgetLoan();
    }

    static constexpr double Ratio = 0.25;

    Instant now = Start;
    std::vector<Instant> requests;
    std::vector<Instant> spent;

private:
    struct LoanResponse {
        Instant at;
        std::size_t to = 0;
        std::uint64_t number = 0;
    };

    std::vector<WindowBudget> m_budgets;
    std::vector<BudgetLoan> m_loans;
    std::vector<LoanResponse> m_responses;
};

} // namespace

// Guards against the fleet exceeding its budget in any window when messages are lost, late or repeated, or processes
// restart.
TEST(WindowBudget, LoansNeverLetTheFleetExceedItsBudget)
{
    CHECK_TRUE(rc::check("loans", [] {
        constexpr std::size_t Processes = 4;
        constexpr double FixedAllowance = 3;
        LendingFleet fleet(Processes, FixedAllowance);
        const auto any = [] {
            return *rc::gen::inRange<std::size_t>(0, Processes);
        };
        const auto steps = *rc::gen::inRange(1, 400);
        for (int step = 0; step < steps; ++step) {
            fleet.now += Millis(*rc::gen::inRange(0, 300));
            fleet.deliver();
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
            case 1:
                fleet.request(any());
                break;
            case 2:
                fleet.requestLoan(any(), any(), Millis(*rc::gen::inRange(0, 3'000)), *rc::gen::inRange(0, 3));
                break;
            case 3:
                fleet.requestLoan(any(), any(), Millis(1), 1);
                break;
            case 4:
                if (*rc::gen::inRange(0, 10) == 0) {
                    fleet.restart(any());
                }
                break;
            default:
                fleet.spend(any());
                break;
            }
        }
        for (const Instant begin : fleet.spent) {
            const auto extra = std::count_if(fleet.spent.begin(), fleet.spent.end(), [begin](Instant at) {
                return at >= begin && at < begin + Seconds(10);
            });
            // The requests of this window and of the three seconds before it, one of them for loans, and one attempt of
            // each process that was kept for longer.
            const auto earned = std::count_if(fleet.requests.begin(), fleet.requests.end(), [begin](Instant at) {
                return at >= begin - Seconds(3) && at < begin + Seconds(10);
            });
            const double allowed = LendingFleet::Ratio * static_cast<double>(earned) + (FixedAllowance + 1) * Processes;
            RC_ASSERT(static_cast<double>(extra) <= allowed);
        }
    }));
}
