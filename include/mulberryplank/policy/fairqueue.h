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

// Names one request within one queue. Chosen by the caller, not used twice while the request is known.
using RequestId = std::uint64_t;

// A local limit on requests in flight or queued that admits none. Needed since 0 stands for "no limit" in Limits, but
// one proxy's share of a small limit may well be none.
inline constexpr std::uint32_t AdmitNone = 0xffff'ffff;

struct FairQueueSettings {
    CostModelSettings cost;
    std::uint32_t totalQueue = 1'024; // waiting requests of all accounts together
    std::uint32_t accountQueueFloor = 4; // waiting requests that every account may have, however many accounts wait
    double burstSeconds = 0.05; // of an account's rate that may come at once
};

// Requests of one account that were not started, by reason.
struct Refusals {
    std::uint64_t rateLimited = 0;
    std::uint64_t inFlightLimited = 0;
    std::uint64_t queueFull = 0;
    std::uint64_t deadlineBeforeStart = 0; // refused on arrival
    std::uint64_t expired = 0; // shed after having waited

    // Counts one refusal on arrival; kinds that enqueue() doesn't return are ignored.
    void count(ErrorKind kind);

    std::uint64_t total() const;

    bool operator==(const Refusals &) const = default;
};

// What operators see of one account.
struct AccountUsage {
    double entitled = 0; // part of the service, 0 to 1, that its weight gives it among the accounts active now
    Duration used {}; // slot-time charged so far, retries and hedges included
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint64_t started = 0;
    Refusals refused;
};

// What one account asked of this process since the last FairQueue::takeDemand(), refused requests included.
struct AccountDemand {
    AccountIndex account = 0;
    Duration interval {}; // the time that this is about
    double requestsPerSecond = 0;
    double slots = 0; // slot-time asked for per second
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    double inFlightWanted = 0;
    double queueWanted = 0;
};

// The waiting requests of one service in one process, started in the order of start-time fair queueing: each account
// has a virtual time, which is the slot-time charged to it divided by its weight, and the waiting account with the
// least virtual time goes next. An account that begins to wait is moved up to the virtual time of the request started
// last, so that time spent idle earns nothing and costs nothing.
//
// Cost is charged by estimate on start, charged on while a request runs longer than charged for, and corrected when it
// ends. While no account has to wait for another, what anyone uses is forgiven.
//
// Guarantee: between any two accounts that wait throughout an interval, charged slot-time divided by weight differs by
// at most the greatest cost charged for one request of each divided by its weight. The order in which an account's
// requests arrive, the number of its connections and what it cancels don't enter.
//
// Every operation is O(log n) in the accounts that wait and the requests known. Not synchronized.
class FairQueue
{
public:
    explicit FairQueue(FairQueueSettings settings);
    ~FairQueue();
    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;

    // Adds an account or changes its weight, 1 to MaxWeight, and its limits in this process.
    void setAccount(AccountIndex account, std::uint32_t weight, Limits localLimits);

    // Changes an account's limits in this process, as FleetShares::localLimits() gives them. Ignored for an account
    // that wasn't added.
    void setLocalLimits(AccountIndex account, Limits localLimits);

    // Sets an account's weight in this process, above 0, as FleetShares::localWeight() gives it. Ignored for an
    // account that wasn't added.
    void setLocalWeight(AccountIndex account, double weight);

    // Removes an account. Its waiting requests come back from the next expired(); running ones are still to be
    // reported to finished().
    void removeAccount(AccountIndex account);

    // Sets how many requests the targets can run for this process at once; 0: not known. Waits are estimated from it,
    // else from what runs. Only if it is known are requests of many times the typical cost kept from taking every slot
    // that others leave unused for a moment.
    void setCapacity(double slots);

    // Sets the typical cost of the service's requests interval all its proxies, as FleetShares::typicalCost() gives it;
    // zero: not known. A proxy that has only huge requests can't tell by itself that others have small ones.
    void setTypicalCost(Duration cost);

    // Sets the bound of waiting requests of all accounts, at least 1. Accounts that have more waiting than their part
    // of it are refused until they have less.
    void setTotalQueue(std::uint32_t requests);

    // Adds a waiting request. Errors: RateLimited, InFlightLimited, QueueFull, DeadlineBeforeStart (the expected wait
    // passes `deadline`), Forbidden (no such account). A refused request is not known to the queue afterwards.
    Result<void> enqueue(RequestId request, AccountIndex account, std::uint16_t route, Instant deadline, Instant now);

    // Returns the request to start now, or nothing when none may start. To be called when a target has room. The
    // request then counts as running until finished().
    std::optional<RequestId> next(Instant now);

    // Removes and returns the waiting requests that can't make their deadline any more and those of removed accounts.
    // None of them was started. To be called before next(), and at nextExpiry() at the latest.
    std::vector<RequestId> expired(Instant now);

    // Returns when expired() will next have something to return, if nothing else happens.
    std::optional<Instant> nextExpiry() const;

    // Removes a waiting request and returns true, or returns false if the request is running or unknown. A running
    // request that is cancelled is reported to finished() as soon as its slot is free.
    bool cancel(RequestId request, Instant now);

    // Ends a running request, which held its slot for `slotTime`. Ignored for any other.
    void finished(RequestId request, Duration slotTime, Instant now);

    // Charges an account for slot-time spent outside of next(): retries, hedges, resumed bodies.
    void charge(AccountIndex account, Duration cost);

    // Returns when a refused caller of the account should come again: at least until a token of its rate is there or
    // until its waiting requests should have started, spread so that callers refused together don't return together.
    Duration retryAfter(AccountIndex account, Instant now) const;

    // Returns what the account used so far; all zero for an unknown one.
    AccountUsage usage(AccountIndex account) const;

    // Returns the demand of the accounts that asked for anything, or had anything running or waiting, since the last
    // call. O(of those accounts).
    std::vector<AccountDemand> takeDemand(Instant now);

    std::size_t waiting() const;
    std::size_t running() const;
    const CostModel &costModel() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace mulberryplank
