#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/configmodel.h"
#include "mulberryplank/policy/costmodel.h"

namespace mulberryplank
{

// Identifies one request within one queue. Chosen by the caller; must not be reused while the request is known.
using RequestId = std::uint64_t;

// A local limit on requests in flight or queued that admits none. Needed because 0 means "no limit" in Limits, while
// one proxy's share of a small limit may be zero.
inline constexpr std::uint32_t AdmitNone = 0xffff'ffff;

struct FairQueueSettings {
    CostModelSettings cost;
    std::uint32_t totalQueue = 1'024; // waiting requests of all accounts together
    std::uint32_t accountQueueFloor = 4; // waiting requests that every account may have, however many accounts wait
    double burstSeconds = 0.05; // seconds of an account's rate that may arrive at once
};

// Counts of one account's requests that were not started, by reason.
struct Refusals {
    std::uint64_t rateLimited = 0;
    std::uint64_t inFlightLimited = 0;
    std::uint64_t queueFull = 0;
    std::uint64_t deadlineBeforeStart = 0; // rejected on arrival
    std::uint64_t expired = 0; // shed after waiting

    // Counts one rejection on arrival. Ignores kinds that enqueue() doesn't return.
    void count(ErrorKind kind);

    std::uint64_t total() const;

    bool operator==(const Refusals &) const = default;
};

// Usage of one account, as shown to operators.
struct AccountUsage {
    double entitled = 0; // share of the service, 0 to 1, that its weight gives it among the currently active accounts
    Duration used {}; // slot-time charged so far, retries and hedges included
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint64_t started = 0;
    Refusals refused;
};

// Demand of one account on this process since the last FairQueue::takeDemand(), rejected requests included.
struct AccountDemand {
    AccountIndex account = 0;
    Duration interval {}; // the period that the demand covers
    double requestsPerSecond = 0;
    double slots = 0; // slot-time requested per second
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    double inFlightWanted = 0;
    double queueWanted = 0;
};

// The waiting requests of one service in one process, started in the order of start-time fair queueing. Each account
// has a virtual time: the slot-time charged to it divided by its weight. The waiting account with the lowest virtual
// time is next. An account that begins to wait is moved up to the virtual time of the request started last, so that
// idle time earns no credit and costs nothing.
//
// Cost is charged by estimate on start, charged again while a request runs longer than charged for, and corrected when
// it ends. Usage while no account waits for another doesn't count against an account later.
//
// Guarantee: take any two accounts that wait throughout an interval, and for each the greatest cost charged for one
// request, divided by the account's weight. The slot-times charged to the two accounts in the interval, divided by
// their weights, differ by at most the sum of these two values. The order in which an account's requests arrive, the
// number of its connections and its cancellations have no influence.
//
// Every operation is O(log n) in the waiting accounts and the known requests. Thread-compatible.
class FairQueue
{
public:
    explicit FairQueue(FairQueueSettings settings);
    ~FairQueue();
    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;

    // Adds an account, or changes its weight, 1 to MaxWeight, and its limits in this process.
    void setAccount(AccountIndex account, std::uint32_t weight, Limits localLimits);

    // Changes an account's limits in this process, as from FleetShares::localLimits(). Ignored for unknown accounts.
    void setLocalLimits(AccountIndex account, Limits localLimits);

    // Sets an account's weight in this process, above 0, as from FleetShares::localWeight(). Ignored for unknown
    // accounts.
    void setLocalWeight(AccountIndex account, double weight);

    // Removes an account. Its waiting requests are returned by the next expired(). Running ones must still be reported
    // to finished().
    void removeAccount(AccountIndex account);

    // Sets how many requests the targets can run for this process at once; 0: unknown. Waits are estimated from it, or
    // else from the number of running requests. If it is unknown, requests of many times the typical cost may take
    // every slot that is briefly unused.
    void setCapacity(double slots);

    // Sets the typical cost of the service's requests on all its proxies, as from FleetShares::typicalCost(); zero:
    // unknown. A proxy that has only very large requests can't tell by itself that others have small ones.
    void setTypicalCost(Duration cost);

    // Sets the maximum number of waiting requests of all accounts, at least 1. Accounts with more waiting requests than
    // their share of it are rejected until they have fewer.
    void setTotalQueue(std::uint32_t requests);

    // Adds a waiting request. Errors: RateLimited, InFlightLimited, QueueFull, DeadlineBeforeStart (the expected wait
    // exceeds `deadline`), Forbidden (no such account). The queue doesn't keep a rejected request.
    Result<void> enqueue(RequestId request, AccountIndex account, std::uint16_t route, Instant deadline, Instant now);

    // Returns the request to start, or nothing if none may start. Must be called when a target has room. The request
    // counts as running until finished().
    std::optional<RequestId> next(Instant now);

    // Removes and returns the waiting requests that can no longer meet their deadline and those of removed accounts.
    // None of them was started. Must be called before next(), and no later than nextExpiry().
    std::vector<RequestId> expired(Instant now);

    // Returns when expired() will next have something to return if nothing else happens.
    std::optional<Instant> nextExpiry() const;

    // Removes a waiting request and returns true, or returns false if the request is running or unknown. A running
    // request that is cancelled must be reported to finished() as soon as its slot is free.
    bool cancel(RequestId request, Instant now);

    // Ends a running request, which held its slot for `slotTime`. Ignored for any other request.
    void finished(RequestId request, Duration slotTime, Instant now);

    // Charges an account for slot-time spent outside next(): retries, hedges, resumed bodies.
    void charge(AccountIndex account, Duration cost);

    // Returns the delay after which a rejected caller of the account should retry: at least until a token of its rate
    // is available or its waiting requests should have started. Delays are spread so that callers rejected together
    // don't return together.
    Duration retryAfter(AccountIndex account, Instant now) const;

    // Returns the usage of the account so far; all zero for an unknown one.
    AccountUsage usage(AccountIndex account) const;

    // Returns the demand of the accounts that had requests arriving, running or waiting since the last call. O(number
    // of those accounts).
    std::vector<AccountDemand> takeDemand(Instant now);

    std::size_t waiting() const;
    std::size_t running() const;
    const CostModel &costModel() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace mulberryplank
