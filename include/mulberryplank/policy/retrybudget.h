#pragma once

#include <random>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

struct RetryBudgetSettings {
    double share = 0.1; // extra attempts per successful request
    double maximum = 10; // tokens that may pile up: the largest burst of extra attempts
    double initial = 1; // tokens at the start
};

// Bounds the load that retries, hedges and range resumes add. Each success earns a part of a token and each extra
// attempt spends a whole one. Without it, an outage in which every request is retried would multiply the load on
// targets that are already failing; with it, the extra load fades to nothing within `maximum` attempts while nothing
// succeeds, and stays below `share` of the successes otherwise. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    // To be called once for each request that ended with a target's answer at its first attempt or a later one.
    void onSuccess();

    // Takes a token for one extra attempt. Returns false, and takes nothing, when there is none.
    bool trySpend();

    // Returns the tokens left.
    double tokens() const;

private:
    RetryBudgetSettings m_settings;
    double m_tokens;
};

struct BackoffSettings {
    Millis first { 10 };
    Millis maximum { 1'000 };
};

// Returns the pause before retry number `retry` (1 for the first): evenly distributed between zero and a bound that
// doubles from `first` to `maximum`, so that requests which failed together don't return together.
Duration backoff(const BackoffSettings &settings, unsigned retry, std::minstd_rand &random);

} // namespace mulberryplank
