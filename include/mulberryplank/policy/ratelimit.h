#pragma once

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// A token bucket. Admits `rate` requests per second on average and bursts of up to `burst` requests.
class TokenBucket
{
public:
    // Sets the rate in requests per second (0: no limit) and the burst in requests, at least 1. A bucket that had no
    // limit starts full. Later changes keep the earned tokens, up to the new burst, so that a changed rate grants no
    // extra requests.
    void setRate(double rate, double burst, Instant now);

    // Returns true if a request may be admitted.
    bool admits(Instant now) const;

    // Takes one token. Must be called after admits() returned true.
    void take(Instant now);

    // Returns the time until the next token, or zero if one is available.
    Duration untilToken(Instant now) const;

private:
    double tokensAt(Instant now) const;

    double m_rate = 0;
    double m_burst = 1;
    double m_tokens = 1;
    Instant m_updated {};
};

} // namespace mulberryplank
