#pragma once

#include <random>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

struct RetryBudgetSettings {
    double share = 0.1; // extra attempts per successful request
    double maximum = 10; // maximum number of tokens: the largest burst of extra attempts
    double initial = 1; // tokens at the start
};

// Bounds the load that retries, hedges and range resumes add. Each success earns a fraction of a token and each extra
// attempt spends a whole one. Without this bound, an outage in which every request is retried would multiply the load
// on targets that are already failing. With it, extra load ends within `maximum` attempts while no request succeeds,
// and stays below `share` of the successes otherwise. Thread-compatible.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    // Must be called once for each request that ended with a target's response, at the first or a later attempt.
    void onSuccess();

    // Takes a token for one extra attempt. Returns false and takes nothing if there is none.
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

// Returns the delay before retry number `retry` (1 for the first). It is evenly distributed between zero and a bound
// that doubles from `first` to `maximum`, so that requests that failed together don't retry together.
Duration backoff(const BackoffSettings &settings, unsigned retry, std::minstd_rand &random);

} // namespace mulberryplank
