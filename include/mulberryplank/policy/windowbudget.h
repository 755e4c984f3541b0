#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// How many extra attempts a service may get in a sliding window: `ratio` of its requests and `fixedAllowance` besides.
// Both hold for the whole fleet; a process spends `ratio` of the requests that it has itself and its share of the
// fixedAllowance.
struct WindowBudgetSettings {
    double ratio = 0.2;
    Duration window = Seconds(10);
    double fixedAllowance = 10; // of this process
};

// Counts a service's requests and extra attempts over a sliding window of ten buckets. A part that lies idle can be
// lent to another process: the lender counts it as spent, and longer than the borrower may spend it. Not synchronized.
class WindowBudget
{
public:
    explicit WindowBudget(WindowBudgetSettings settings);

    // Changes the fixedAllowance, which follows the number of processes that share it.
    void setFixedAllowance(double fixedAllowance);

    // A request has arrived.
    void onRequest(Instant now);

    // Takes one extra attempt from the budget. Returns false when there is none left, `reserve` being kept back for
    // more important ones.
    [[nodiscard]] bool trySpend(Instant now, double reserve = 0);

    // Gives away one extra attempt, which another process may make within LoanLifetime. Returns false when less than
    // `reserve` would be left.
    [[nodiscard]] bool tryLend(Instant now, double reserve);

    // Takes one extra attempt that another process has given away, to be made before `until`.
    void borrow(Instant until);

    // Returns what is left, borrowed attempts included.
    double left(Instant now);

private:
    static constexpr std::size_t Buckets = 10;
    // A loan is counted as if it were spent so many buckets later: in the last moment in which it can be.
    static constexpr std::size_t LoanBuckets = 2;

    struct Bucket {
        std::uint32_t requests = 0;
        std::uint32_t spent = 0;
    };

    void advance(Instant now);
    Bucket &bucket(std::int64_t number);
    double ownLeft(Instant now);

    WindowBudgetSettings m_settings;
    // One more than the window, so that a full window is always counted; and those that loans are counted in.
    std::array<Bucket, Buckets + 1 + LoanBuckets> m_buckets {};
    std::vector<Instant> m_borrowed; // until when each may be spent
    std::int64_t m_current = 0;
};

} // namespace mulberryplank
