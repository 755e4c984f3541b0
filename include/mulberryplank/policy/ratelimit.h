#pragma once

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// A token bucket: admits `rate` requests a second on average, and a burst of at most `burst` at once.
class TokenBucket
{
public:
    // Sets the rate in requests a second (0: no limit) and the burst in requests, at least 1. A bucket that
    // had no limit starts full; later, tokens already earned stay, up to the new burst, so that a changed rate gives
    // nothing away.
    void setRate(double rate, double burst, Instant now);

    // Returns true if a request may be admitted.
    bool admits(Instant now) const;

    // Takes one token. To be called after admits() returned true.
    void take(Instant now);

    // Returns how long until the next token: zero if one is there.
    Duration untilToken(Instant now) const;

private:
    double tokensAt(Instant now) const;

    double m_rate = 0;
    double m_burst = 1;
    double m_tokens = 1;
    Instant m_updated {};
};

} // namespace mulberryplank
