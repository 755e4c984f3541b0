#pragma once

#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/clientaccounts.h"

namespace mulberryplank
{

// How long a loan between processes may be used after it was requested. The lender doesn't earn anew what it lent for
// that long after it has lent it.
inline constexpr Duration AllowanceLoanLifetime = Millis(100);

// What one process may run of an account's requests: a token bucket with a part of the account's limit, which it can
// lend to other processes and borrow from them. Requests are counted in fractions, because a part of a small limit may
// be less than one request.
//
// Guarantee: processes whose parts add up to no more than 1 together admit at most `perSecond` times the length of any
// period plus `burst` requests in it, however they lend, and whatever messages are lost. A burst of less than one
// request counts as one, without which the account could run nothing. Thread-compatible.
class AccountAllowance
{
public:
    // Sets the account's limit, and the part of it, 0 to 1, that this process earns. What was earned before is kept up
    // to the new part of the burst. The first call lets the process start with `initialShare`, 0 to 1, of its part of
    // the burst.
    void configure(const AccountLimit &limit, double part, double initialShare, Instant now);

    // Takes one request from the allowance, borrowed parts first. Returns false if less than one is left.
    [[nodiscard]] bool tryTake(Instant now);

    // Returns one request, which was admitted but has not run.
    void giveBack(Instant now);

    // Returns what is missing for one request; 0 if there is enough.
    double missing(Instant now);

    // Returns how much this process lends to another one: up to `most`, and nothing if it has less than `least`, which
    // the other one couldn't use.
    double lend(double least, double most, Instant now);

    // Adds what another process has lent, to be used before `until`.
    void borrow(double amount, Instant until);

    // Returns the time after which a refused request may be sent again. Each call returns the time of another turn, so
    // that callers that were refused together don't return together.
    Duration nextTurn(Instant now);

    // Returns true if a new allowance of the same part would be the same as this one.
    bool isFull(Instant now);

private:
    struct Loan {
        double amount = 0;
        Instant until {};
    };

    void advance(Instant now);
    double capacity() const; // without what is lent
    double borrowed() const;

    AccountLimit m_limit;
    double m_part = 0;
    double m_earned = 0; // in requests
    double m_lentAmount = 0; // the sum of m_lent
    Instant m_updated {};
    Instant m_lastTurn {}; // that was given to a refused request
    bool m_isConfigured = false;
    std::vector<Loan> m_lent; // by time
    std::vector<Loan> m_borrowed;
};

} // namespace mulberryplank
