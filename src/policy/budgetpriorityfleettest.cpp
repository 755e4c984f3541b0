// Division of a service's retry budget by priority over a fleet on virtual time: which second attempts are made.
#include <algorithm>
#include <array>
#include <cstdint>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/policy/windowbudget.h"

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr Duration Step = Millis(5);
constexpr Duration Window = Seconds(10);
// The budget that the users set. The fleet distributes nine tenths of it.
constexpr double Ratio = 0.2;
constexpr double FixedAllowance = 190;
constexpr double DistributedShare = 0.9;
constexpr std::size_t Gateways = 8;
constexpr std::size_t Priorities = 3;

using PerPriority = std::array<double, Priorities>;

struct Load {
    PerPriority requestsPerSecond { 60, 400, 230 };
    PerPriority failed { 0.5, 0.5, 0.5 }; // the part of the requests that need a second attempt
    double lostLoans = 0;
    bool hasPriorities = true;
};

// Gateways that share a service's budget in equal parts and lend to each other, before callers that all need second
// attempts.
class Fleet
{
public:
    explicit Fleet(const Load &load)
        : m_load(load)
        , m_budgets(Gateways, newBudget())
    {
    }

    void run(Duration span)
    {
        const Instant end = m_now + span;
        for (; m_now < end; m_now += Step) {
            for (std::size_t priority = 0; priority < Priorities; ++priority) {
                std::poisson_distribution<int> arrivals(m_load.requestsPerSecond.at(priority) * toSeconds(Step));
                for (int count = arrivals(m_random); count > 0; --count) {
                    request(static_cast<std::uint32_t>(priority));
                }
            }
        }
    }

    // Kills a gateway and starts another one in its place, which knows nothing and has no part of the fixed allowance
    // for a window.
    void replace(std::size_t gateway)
    {
        m_budgets.at(gateway) = WindowBudget({ Ratio * DistributedShare, Window, 0 });
    }

    // Returns the part of the second attempts that a priority needed which were made.
    double made(std::size_t priority) const
    {
        return m_made.at(priority) / std::max(m_needed.at(priority), 1.0);
    }

    double totalMade() const
    {
        return m_made[0] + m_made[1] + m_made[2];
    }

    // Returns the most extra attempts of any window, as a part of the users' budget for its requests.
    double mostSpent() const
    {
        double most = 0;
        for (const Instant begin : m_spent) {
            const auto count = [begin](const std::vector<Instant> &times) {
                const auto first = std::lower_bound(times.begin(), times.end(), begin);
                return static_cast<double>(std::lower_bound(first, times.end(), begin + Window) - first);
            };
            if (begin + Window <= m_now) {
                most = std::max(most, count(m_spent) / (Ratio * count(m_requests) + FixedAllowance));
            }
        }
        return most;
    }

private:
    static WindowBudget newBudget()
    {
        return WindowBudget({ Ratio * DistributedShare, Window, FixedAllowance * DistributedShare / Gateways });
    }

    void request(std::uint32_t priority)
    {
        const auto gateway = std::uniform_int_distribution<std::size_t>(0, Gateways - 1)(m_random);
        WindowBudget &budget = m_budgets.at(gateway);
        m_requests.push_back(m_now);
        budget.onRequest(m_now);
        if (!std::bernoulli_distribution(m_load.failed.at(priority))(m_random)) {
            return;
        }
        ++m_needed.at(priority);
        const std::uint32_t used = m_load.hasPriorities ? priority : 0;
        budget.recordDemand(used, m_now);
        if (!budget.trySpend(m_now, 0, used)) {
            budget.recordShortage(m_now);
            borrowFor(budget);
            if (!budget.trySpend(m_now, 0, used)) {
                return;
            }
        }
        ++m_made.at(priority);
        m_spent.push_back(m_now);
    }

    void borrowFor(WindowBudget &budget)
    {
        WindowBudget &lender = m_budgets.at(std::uniform_int_distribution<std::size_t>(0, Gateways - 1)(m_random));
        const bool isLent = &lender != &budget && lender.tryLend(m_now, 2);
        if (isLent && !std::bernoulli_distribution(m_load.lostLoans)(m_random)) {
            budget.borrow(m_now + Seconds(1));
        }
    }

    Load m_load;
    std::mt19937_64 m_random { 1 };
    Instant m_now = Start;
    std::vector<WindowBudget> m_budgets;
    PerPriority m_needed {};
    PerPriority m_made {};
    std::vector<Instant> m_requests;
    std::vector<Instant> m_spent;
};

} // namespace

TEST_GROUP(BudgetPriorityFleet) {};

// Guards against urgent requests that fail because the second attempts of less urgent ones have used up the budget.
TEST(BudgetPriorityFleet, secondAttemptsOfUrgentRequestsAreMadeFirst)
{
    Load load;
    Fleet divided(load);
    divided.run(Seconds(60));
    load.hasPriorities = false;
    Fleet undivided(load);
    undivided.run(Seconds(60));
    CHECK_TRUE(divided.made(0) >= 0.95);
    CHECK_TRUE(divided.made(1) > divided.made(2));
    CHECK_TRUE(divided.totalMade() >= 0.9 * undivided.totalMade());
    CHECK_TRUE(divided.mostSpent() <= 1);
}

// Guards against routes whose second attempts are never made.
TEST(BudgetPriorityFleet, leastUrgentRequestsKeepATenth)
{
    Load load;
    load.requestsPerSecond = { 600, 0, 100 };
    load.failed = { 1, 1, 1 };
    Fleet fleet(load);
    fleet.run(Seconds(60));
    const double needed = 100 * 60;
    CHECK_TRUE(fleet.made(2) * needed >= PriorityShare::MinShare * fleet.totalMade());
    CHECK_TRUE(fleet.made(0) > fleet.made(2));
}

TEST(BudgetPriorityFleet, plentifulBudgetIsSpentAsWithoutPriorities)
{
    Load load;
    load.failed = { 0.1, 0.1, 0.1 };
    Fleet divided(load);
    divided.run(Seconds(60));
    load.hasPriorities = false;
    Fleet undivided(load);
    undivided.run(Seconds(60));
    for (std::size_t priority = 0; priority < Priorities; ++priority) {
        DOUBLES_EQUAL(undivided.made(priority), divided.made(priority), 0);
    }
}

// Guards against a budget that is exceeded, or isn't divided any more, after gateways were killed and loans lost.
TEST(BudgetPriorityFleet, urgentRequestsGoFirstWhileGatewaysAreKilledAndLoansLost)
{
    Load load;
    load.lostLoans = 0.3;
    Fleet fleet(load);
    fleet.run(Seconds(20));
    fleet.replace(0);
    fleet.replace(5);
    fleet.run(Seconds(20));
    CHECK_TRUE(fleet.made(0) >= 0.9);
    CHECK_TRUE(fleet.made(0) > fleet.made(1));
    CHECK_TRUE(fleet.made(1) > fleet.made(2));
    CHECK_TRUE(fleet.mostSpent() <= 1);
}
