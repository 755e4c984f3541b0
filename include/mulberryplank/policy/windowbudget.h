#pragma once

#include <array>
#include <cstdint>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// How many extra attempts a service may get in a sliding window: `ratio` of its requests and `slack` besides. Both hold
// for the whole fleet; a process spends `ratio` of the requests that it has itself and its share of the slack.
struct WindowBudgetSettings {
    double ratio = 0.2;
    Duration window = Seconds(10);
    double slack = 10; // of this process
};

// Counts a service's requests and extra attempts over a sliding window of ten buckets. Not synchronized.
class WindowBudget
{
public:
    explicit WindowBudget(WindowBudgetSettings settings);

    // Changes the slack, which follows the number of processes that share it.
    void setSlack(double slack);

    // A request has arrived.
    void onRequest(Instant now);

    // Takes one extra attempt from the budget. Returns false when there is none left, `reserve` being kept back for
    // more important ones.
    [[nodiscard]] bool trySpend(Instant now, double reserve = 0);

    // Returns what is left.
    double left(Instant now);

private:
    static constexpr std::size_t Buckets = 10;

    struct Bucket {
        std::uint32_t requests = 0;
        std::uint32_t spent = 0;
    };

    void advance(Instant now);

    WindowBudgetSettings m_settings;
    std::array<Bucket, Buckets + 1> m_buckets {}; // one more than the window, so that a full window is always counted
    std::int64_t m_current = 0;
};

} // namespace mulberryplank
