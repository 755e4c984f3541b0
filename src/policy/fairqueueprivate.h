#pragma once

#include <algorithm>
#include <deque>
#include <unordered_map>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "mulberryplank/policy/fairqueue.h"
#include "mulberryplank/policy/ratelimit.h"
#include "mulberryplank/policy/targethealth.h"

// The records of FairQueue and the orders that they stand in. Included by the sources of FairQueue only.
namespace mulberryplank::internal
{

using ListHook = boost::intrusive::list_member_hook<>;
using TreeHook = boost::intrusive::set_member_hook<>;

struct QueueAccount;

struct QueueRequest {
    RequestId id = 0;
    QueueAccount *account = nullptr; // nullptr: removed
    std::uint16_t route = NoRoute;
    bool running = false;
    bool isLong = false; // of a running request: expected to hold its slot for many times the typical cost
    Duration estimate {}; // when it arrived
    Duration charged {}; // of a running request: slot-time that its account was charged so far
    Duration chargedInEpoch {}; // the part of it that was not forgiven
    std::uint64_t epoch = 0; // that chargedInEpoch belongs to
    Instant started {};
    Instant latestStart {}; // of a waiting request: started later it would miss its deadline
    ListHook fifoHook; // waiting: in its account's queue
    TreeHook timeHook; // waiting: by latestStart; running: by chargedUntil()

    // Returns when a running request has used up what was charged for it.
    Instant chargedUntil() const
    {
        return started + charged;
    }
};

struct EarlierLatestStart {
    bool operator()(const QueueRequest &left, const QueueRequest &right) const
    {
        return left.latestStart < right.latestStart;
    }
};

struct EarlierChargedUntil {
    bool operator()(const QueueRequest &left, const QueueRequest &right) const
    {
        return left.chargedUntil() < right.chargedUntil();
    }
};

template<typename T, ListHook T::*hook>
using HookedList = boost::intrusive::list<T, boost::intrusive::member_hook<T, ListHook, hook>>;

template<typename T, TreeHook T::*hook, typename Less>
using HookedTree =
    boost::intrusive::multiset<T, boost::intrusive::member_hook<T, TreeHook, hook>, boost::intrusive::compare<Less>>;

using RequestFifo = HookedList<QueueRequest, &QueueRequest::fifoHook>;
using WaitingRequests = HookedTree<QueueRequest, &QueueRequest::timeHook, EarlierLatestStart>;
using RunningRequests = HookedTree<QueueRequest, &QueueRequest::timeHook, EarlierChargedUntil>;

struct QueueAccount {
    AccountIndex index = 0;
    bool present = false;
    double weight = 1;
    double virtualTime = 0; // seconds of slot-time per unit of weight
    double waitingCost = 0; // seconds of slot-time, estimated, of the waiting requests
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t longRunning = 0;
    std::uint32_t inFlightLimit = 0; // 0: none
    std::uint32_t queueLimit = 0; // 0: none
    bool countedActive = false;
    Instant activeSince {};
    double rateLimit = 0; // as set
    double rateApplied = 0; // as in force in `rate`
    TokenBucket rate;
    std::uint32_t offered = 0; // since demand was taken
    float offeredCost = 0; // seconds of slot-time, since demand was taken
    std::uint64_t started = 0;
    Duration used {};
    Refusals refused;
    RequestFifo fifo;
    TreeHook orderHook; // waits and may go next
    ListHook demandHook; // has demand to report
    ListHook deferralHook; // next to start is a long request, for which there is no room

    // Returns true if the account has anything running or waiting.
    bool active() const
    {
        return queued > 0 || running > 0;
    }

    // Returns the demand since it was taken last, `seconds` ago, and begins anew.
    AccountDemand takeDemand(double seconds)
    {
        AccountDemand demand;
        demand.account = index;
        demand.interval = fromSeconds(seconds);
        demand.requestsPerSecond = offered / seconds;
        demand.slots = offeredCost / seconds;
        demand.running = running;
        demand.queued = queued;
        demand.inFlightWanted = std::max(static_cast<double>(queued + running), demand.slots);
        demand.queueWanted = queued + (offered > 0 ? 1.0 : 0.0);
        offered = 0;
        offeredCost = 0;
        return demand;
    }

    // Returns true if the account has a waiting request that may start.
    bool mayStart() const
    {
        return queued > 0 && !deferralHook.is_linked() && (inFlightLimit == 0 || running < inFlightLimit);
    }
};

struct LesserVirtualTime {
    bool operator()(const QueueAccount &left, const QueueAccount &right) const
    {
        return left.virtualTime < right.virtualTime;
    }
};

using AccountOrder = HookedTree<QueueAccount, &QueueAccount::orderHook, LesserVirtualTime>;
using AccountsWithDemand = HookedList<QueueAccount, &QueueAccount::demandHook>;
using DeferredAccounts = HookedList<QueueAccount, &QueueAccount::deferralHook>;

} // namespace mulberryplank::internal

namespace mulberryplank
{

struct FairQueue::Private {
    explicit Private(FairQueueSettings theSettings)
        : settings(theSettings)
        , cost(theSettings.cost)
        , totalQueue(std::max(theSettings.totalQueue, 1U))
    {
    }

    ~Private()
    {
        // Intrusive containers must be empty before the records that they link are destroyed.
        accountsWithDemand.clear();
        deferred.clear();
        order.clear();
        waiting.clear();
        running.clear();
        for (internal::QueueAccount &account : accounts) {
            account.fifo.clear();
        }
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    internal::QueueAccount *find(AccountIndex index);
    internal::QueueAccount &ensure(AccountIndex index);
    void addToDemand(internal::QueueAccount &account);
    void recordOffered(internal::QueueAccount &account, Duration estimate);
    std::uint32_t queueBound(const internal::QueueAccount &account) const;
    double slots() const;
    Duration expectedWait(const internal::QueueAccount &account) const;
    std::optional<ErrorKind> refusal(const internal::QueueAccount &account, Instant latestStart, Instant now) const;
    void advanceVirtualTime(double reached);
    void resetVirtualTimes();
    void chargeRequest(internal::QueueRequest &request, Duration cost);
    void reorder(internal::QueueAccount &account);
    void removeFromOrder(internal::QueueAccount &account);
    void addCharge(internal::QueueAccount &account, double seconds);
    void chargeOverruns(Instant now);
    void unlinkWaiting(internal::QueueRequest &request);
    void start(internal::QueueRequest &request, Instant now);
    bool isLong(const internal::QueueRequest &request) const;
    Duration currentEstimate(const internal::QueueRequest &request) const;
    bool roomForLong(const internal::QueueAccount &account) const;
    void smoothDemand(Instant now);
    void deferAccount(internal::QueueAccount &account, Instant now);
    void endDeferral(internal::QueueAccount &account);
    void endDueDeferrals(Instant now);
    void addWaiting(
        internal::QueueAccount &account, RequestId id, std::uint16_t route, Duration estimate, Instant latestStart);
    void dropWaiting(internal::QueueRequest &request);
    void shedLate(Instant now);
    void applyRateLimit(internal::QueueAccount &account, Instant now) const;
    void setWeight(internal::QueueAccount &account, double weight);
    void deactivateIfIdle(internal::QueueAccount &account);

    FairQueueSettings settings;
    CostModel cost;
    std::uint32_t totalQueue;
    double capacity = 0;
    Duration fleetTypicalCost {};
    double virtualTime = 0; // of the request started last
    double largestVirtualTime = 0;
    std::uint64_t epoch = 0; // counts how often all were put level
    double orderedWeight = 0; // of the accounts in `order`
    double activeWeight = 0; // of the accounts that run or wait
    double waitingCost = 0; // seconds of slot-time, estimated
    std::size_t activeAccounts = 0;
    Instant demandTakenAt {};
    std::deque<internal::QueueAccount> accounts; // by index; grows without moving its elements
    std::unordered_map<RequestId, internal::QueueRequest> requests;
    std::vector<RequestId> shed; // no longer waiting, and not yet returned by expired()
    internal::AccountOrder order; // accounts that may go next
    internal::WaitingRequests waiting;
    internal::RunningRequests running;
    internal::AccountsWithDemand accountsWithDemand;
    internal::DeferredAccounts deferred;
    Instant deferralEndsAt {};
    std::size_t longRunning = 0;
    double shortWanted = 0; // smoothed number of requests that are not long: those running, and accounts that wait
    double recentWeight = 0; // smoothed activeWeight
    Instant demandSmoothedAt {};
};

} // namespace mulberryplank
