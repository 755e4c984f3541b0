#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/clientaccounts.h"

namespace mulberryplank
{

// How long a loan between processes may be used after it was requested. For the lender it counts as used for that much
// longer than a request of its own.
inline constexpr Duration AllowanceLoanLifetime = Millis(100);

// The period over which limits of accounts are counted.
struct AllowanceSettings {
    Duration window = Seconds(5);
};

// What a request must leave of an allowance, and which loans it may use.
struct AllowanceClaim {
    double reserve = 0; // of this process's own part, in requests, which is left to other priorities
    std::uint32_t priority = 0; // a loan that was asked for by a more urgent request isn't used
};

// A loan that requests of any priority may use.
inline constexpr std::uint32_t AnyPriority = std::numeric_limits<std::uint32_t>::max();

// What one process may run of an account's requests. In any window that is its part of what the limit allows in one:
// `perSecond` times the window plus `burst` requests. So that an account doesn't use all of that at once, requests are
// also paced by a token bucket, which allows its part of AccountLimit::atOnce() at once. The bucket is filled faster
// than by `perSecond`, as demand that lasts may use what the limit allows in each window. The process can lend from its
// part to other processes and borrow from them. Requests are counted in fractions, because a part of a small limit may
// be less than one request.
//
// Guarantee: processes whose parts add up to no more than 1 together admit no more than the limit allows in any window,
// however they lend, and whatever messages are lost. A burst of less than one request counts as one, without which the
// account could run nothing. Thread-compatible.
class AccountAllowance
{
public:
    explicit AccountAllowance(AllowanceSettings settings);

    // Sets the account's limit, and the part of it, 0 to 1, that this process has. What was used before counts on. Of a
    // lowered limit it counts as the same share as of the limit before, so that an account whose demand is above the
    // new limit is served at the new rate at once; the new limit holds in each window from now on. If `isNew`, the
    // process may have taken the part over from another one that has just used it: for a window its bucket is filled
    // only by `perSecond`, and if this is the first call the bucket starts with `initialRequests`.
    void configure(const AccountLimit &limit, double part, bool isNew, double initialRequests, Instant now);

    // Takes one request from the allowance, borrowed parts first. Returns false if less than one is left for it.
    [[nodiscard]] bool tryTake(Instant now, const AllowanceClaim &claim = {});

    // Returns one request, which was admitted but has not run.
    void giveBack(Instant now);

    // Returns what is missing for one request; 0 if there is enough.
    double missing(Instant now, const AllowanceClaim &claim = {});

    // Returns how much this process lends to another one: up to `most`, and nothing if it has less than `least` beyond
    // `reserve`, which the other one couldn't use.
    double lend(double least, double most, Instant now, double reserve = 0);

    // Adds what another process has lent, to be used before `until` by requests of `priority` and more urgent ones.
    void borrow(double amount, Instant until, std::uint32_t priority = AnyPriority);

    // Returns what this process has per second of its own, and the most it can have at once.
    double perSecond() const;
    double mostAtOnce() const;

    // Returns the time after which a refused request may be sent again. Each call returns the time of another turn, so
    // that callers that were refused together don't return together.
    Duration nextTurn(Instant now);

    // Returns true if a new allowance of the same part would be the same as this one.
    bool isUnused(Instant now);

private:
    struct Amount {
        double requests = 0;
        Instant until {}; // when it no longer counts
        std::uint32_t priority = AnyPriority; // the least urgent that may use it
    };
    struct Used {
        double requests = 0;
        Instant until {}; // when they no longer count
        double allowed = 0; // in a window, to all processes together, by the limit that they were used under
    };

    void advance(Instant now);
    void use(double amount, Instant now);
    double allowed() const; // in a window, to all processes together
    double counted(const Used &used) const;
    double bucketSize() const;
    double available() const; // without what is borrowed
    double borrowed(std::uint32_t priority) const;

    AllowanceSettings m_settings;
    AccountLimit m_limit;
    double m_part = 0;
    double m_tokens = 0; // in the bucket
    Instant m_updated {}; // the bucket
    Instant m_fastFrom {}; // when the bucket may be filled faster than by `perSecond`
    bool m_isConfigured = false;
    std::deque<Used> m_used; // and lent, by time
    double m_usedSum = 0; // as counted()
    std::vector<Amount> m_borrowed;
    Instant m_lastTurn {}; // that was given to a refused request
};

} // namespace mulberryplank
