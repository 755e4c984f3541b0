#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/priorityshare.h"

namespace mulberryplank
{

// Settings for the number of extra attempts a service may get in a sliding window: `ratio` of its requests plus
// `fixedAllowance`. Both apply to the whole fleet. A process spends `ratio` of its own requests and its share of the
// fixed retry allowance.
struct WindowBudgetSettings {
    double ratio = 0.2;
    Duration window = Seconds(10);
    double fixedAllowance = 10; // of this process
};

// Counts the requests and extra attempts of a service in a sliding window of ten buckets. Unused budget can be lent to
// another process. The lender counts a loan as spent, for longer than the borrower may spend it.
//
// What requests add expires after a second or two if it isn't spent. A process that spent what a whole window has added
// and then ended would otherwise leave the same again to its successor, which doesn't know of it.
//
// While the budget is short, attempts leave a part of this process's own budget to those of other priorities
// (PriorityShare). What other processes lent may be spent for any attempt. Thread-compatible.
class WindowBudget
{
public:
    explicit WindowBudget(WindowBudgetSettings settings);

    // Changes the fixed retry allowance, which depends on the number of processes that share it.
    void setFixedAllowance(double fixedAllowance);

    // Records a request.
    void onRequest(Instant now);

    // Records that a request of that priority needs an extra attempt. Must be called once for each such attempt.
    void recordDemand(std::uint32_t priority, Instant now);

    // Records that the budget didn't allow an attempt that a request needs.
    void recordShortage(Instant now);

    // Takes one extra attempt for a request of that priority from the budget. Returns false if none is left beyond
    // `reserve`, which is kept for more important attempts.
    [[nodiscard]] bool trySpend(Instant now, double reserve = 0, std::uint32_t priority = 0);

    // Lends one extra attempt, which another process may make within LoanLifetime. Returns false if less than `reserve`
    // would be left.
    [[nodiscard]] bool tryLend(Instant now, double reserve);

    // Adds one extra attempt borrowed from another process, to be made before `until`.
    void borrow(Instant until);

    // Returns the extra attempts left, borrowed ones included.
    double left(Instant now);

    // Returns the extra attempts left to requests of that priority.
    double leftFor(std::uint32_t priority, Instant now);

    // The requests and extra attempts that count at the moment, for the log.
    struct Usage {
        std::uint32_t requests = 0;
        std::uint32_t spent = 0; // loans to other processes included
    };
    Usage usage(Instant now);

private:
    static constexpr std::size_t Buckets = 10;
    // A loan is counted as spent this many buckets later, at the last moment at which the borrower can spend it.
    static constexpr std::size_t LoanBuckets = 2;

    struct Bucket {
        std::uint32_t requests = 0;
        std::uint32_t spent = 0;
        double spentOfAllowance = 0; // the part of `spent` that was taken from the fixed allowance
    };

    void advance(Instant now);
    Bucket &bucket(std::int64_t number);
    double maxCredit();
    double ownLeft(Instant now);
    void take(Bucket &bucket);

    double kept(std::uint32_t priority, Instant now);

    WindowBudgetSettings m_settings;
    PriorityShare m_priorities;
    // One bucket more than the window, so that a full window is always counted, plus the buckets in which loans are
    // counted.
    std::array<Bucket, Buckets + 1 + LoanBuckets> m_buckets {};
    double m_credit = 0; // extra attempts that requests have added and that aren't spent
    std::vector<Instant> m_borrowed; // expiry time of each borrowed attempt
    std::int64_t m_current = 0;
};

} // namespace mulberryplank
