#include "fairqueueprivate.h"

namespace mulberryplank
{

using namespace internal;

namespace
{

// A request is long if its expected cost exceeds this many times the typical cost.
constexpr double LongFactor = 8;

// Share of the unused slots that long requests may hold beyond their account's own share.
constexpr double MaxBorrowedShare = 0.75;

// Time constant, in seconds, for smoothing demand to determine unused slots.
constexpr double DemandSmoothingSeconds = 2;

// Tolerance for fractions of a slot.
constexpr double SlotRounding = 0.5;

// Time until a deferred account is reconsidered.
constexpr Duration DeferralTime = Millis(20);

} // namespace

QueueAccount *FairQueue::Private::find(AccountIndex index)
{
    const bool known = index < accounts.size() && accounts[index].present;
    return known ? &accounts[index] : nullptr;
}

QueueAccount &FairQueue::Private::ensure(AccountIndex index)
{
    while (accounts.size() <= index) {
        const auto nextIndex = static_cast<AccountIndex>(accounts.size());
        accounts.emplace_back().index = nextIndex;
    }
    return accounts[index];
}

void FairQueue::Private::addToDemand(QueueAccount &account)
{
    if (!account.demandHook.is_linked()) {
        accountsWithDemand.push_back(account);
    }
}

void FairQueue::Private::recordOffered(QueueAccount &account, Duration estimate)
{
    addToDemand(account);
    ++account.offered;
    account.offeredCost += static_cast<float>(toSeconds(estimate));
}

// Each account's share of the queue follows its weight, so that a full queue of one account never keeps another out.
// With n equal accounts filling up one after the other, the sum stays below totalQueue * (1 + 1/2 + ... + 1/n).
std::uint32_t FairQueue::Private::queueBound(const QueueAccount &account) const
{
    const double weights = activeWeight + (account.active() ? 0 : account.weight);
    const auto part = static_cast<std::uint32_t>(totalQueue * account.weight / weights);
    const std::uint32_t bound = std::max(part, settings.accountQueueFloor);
    return account.queueLimit == 0 ? bound : std::min(bound, account.queueLimit);
}

// While requests wait, every slot available to this process is taken, so the number of running requests is the
// capacity.
double FairQueue::Private::slots() const
{
    return capacity > 0 ? capacity : std::max(static_cast<double>(running.size()), 1.0);
}

// A new request starts when the virtual time reaches its start tag, or earlier if the accounts before it run out of
// requests. It starts no later than after all currently waiting work, unless requests that arrive later go first.
Duration FairQueue::Private::expectedWait(const QueueAccount &account) const
{
    if (waiting.empty()) {
        return Duration::zero();
    }
    const double tag = std::max(account.virtualTime, virtualTime) + account.waitingCost / account.weight;
    const double weights = orderedWeight + (account.orderHook.is_linked() ? 0 : account.weight);
    const double byOrder = (tag - virtualTime) * weights;
    return fromSeconds(std::min(byOrder, waitingCost) / slots());
}

std::optional<ErrorKind> FairQueue::Private::refusal(const QueueAccount &account,
                                                     Instant latestStart,
                                                     Instant now) const
{
    if (!account.rate.admits(now)) {
        return ErrorKind::RateLimited;
    }
    const bool inFlightFull = account.inFlightLimit != 0 && account.running >= account.inFlightLimit;
    if (account.inFlightLimit == AdmitNone) {
        return ErrorKind::InFlightLimited;
    }
    // Without a share of the queue limit a request may still start if no request waits before it.
    const bool full = account.queueLimit == AdmitNone ? !waiting.empty() : account.queued >= queueBound(account);
    if (full) {
        return inFlightFull ? ErrorKind::InFlightLimited : ErrorKind::QueueFull;
    }
    if (now + expectedWait(account) >= latestStart) {
        return ErrorKind::DeadlineBeforeStart;
    }
    return std::nullopt;
}

void FairQueue::Private::advanceVirtualTime(double reached)
{
    virtualTime = std::max(virtualTime, reached);
}

// Resets all accounts to the same virtual time when none waits for another, since usage of idle capacity costs no other
// account anything. Otherwise an account that filled an idle service with long downloads would be shut out for equally
// long once others arrive.
void FairQueue::Private::resetVirtualTimes()
{
    advanceVirtualTime(largestVirtualTime);
    ++epoch;
}

// Charges a running request, or refunds an excess charge. Charges of earlier epochs aren't refunded: a refund would let
// the account go before all others for as long as those charges lasted.
void FairQueue::Private::chargeRequest(QueueRequest &request, Duration more)
{
    if (request.epoch != epoch) {
        request.epoch = epoch;
        request.chargedInEpoch = Duration::zero();
    }
    const Duration charge = std::max(more, -request.chargedInEpoch);
    request.charged += more;
    request.chargedInEpoch += charge;
    if (request.account != nullptr) {
        request.account->used += more;
        addCharge(*request.account, toSeconds(charge));
    }
}

// Adds the account to the order if it may start a request, and removes it otherwise.
void FairQueue::Private::reorder(QueueAccount &account)
{
    if (account.mayStart() == account.orderHook.is_linked()) {
        return;
    }
    if (!account.mayStart()) {
        removeFromOrder(account);
        return;
    }
    // The account begins to compete. Time spent idle, or held back by its own limit, earns no credit.
    account.virtualTime = std::max(account.virtualTime, virtualTime);
    largestVirtualTime = std::max(largestVirtualTime, account.virtualTime);
    orderedWeight += account.weight;
    order.insert(account);
}

void FairQueue::Private::removeFromOrder(QueueAccount &account)
{
    order.erase(order.iterator_to(account));
    orderedWeight = order.empty() ? 0 : orderedWeight - account.weight;
    if (order.empty()) {
        resetVirtualTimes();
    }
}

void FairQueue::Private::addCharge(QueueAccount &account, double seconds)
{
    const bool linked = account.orderHook.is_linked();
    if (linked) {
        order.erase(order.iterator_to(account));
    }
    account.virtualTime += seconds / account.weight;
    largestVirtualTime = std::max(largestVirtualTime, account.virtualTime);
    if (linked) {
        order.insert(account);
    }
}

// Charges a request that runs longer than it was charged for as much again. Charging only at its end would let an
// account that sends few very large requests take slot after slot while it still appears cheap.
void FairQueue::Private::chargeOverruns(Instant now)
{
    while (!running.empty() && running.begin()->chargedUntil() <= now) {
        QueueRequest &request = *running.begin();
        running.erase(running.begin());
        const Duration more = std::max(request.charged, Duration(now - request.chargedUntil()));
        chargeRequest(request, more);
        running.insert(request);
    }
    if (order.empty()) {
        resetVirtualTimes();
    }
}

// Must be called after an account's last request may have left.
void FairQueue::Private::deactivateIfIdle(QueueAccount &account)
{
    if (!account.countedActive || account.active()) {
        return;
    }
    account.countedActive = false;
    --activeAccounts;
    // Set to zero rather than computed. Floating-point errors would otherwise accumulate within days.
    activeWeight = activeAccounts == 0 ? 0 : activeWeight - account.weight;
}

void FairQueue::Private::addWaiting(
    QueueAccount &account, RequestId id, std::uint16_t route, Duration estimate, Instant latestStart)
{
    QueueRequest &request = requests[id];
    request.id = id;
    request.account = &account;
    request.route = route;
    request.estimate = estimate;
    request.latestStart = latestStart;
    waiting.insert(request);
    account.fifo.push_back(request);
    ++account.queued;
    account.waitingCost += toSeconds(estimate);
    waitingCost += toSeconds(estimate);
    if (!account.countedActive) {
        account.countedActive = true;
        account.activeSince = demandSmoothedAt;
        ++activeAccounts;
        activeWeight += account.weight;
    }
    reorder(account);
}

// Applies a changed rate limit at the first request after the change, which provides the current time.
void FairQueue::Private::applyRateLimit(QueueAccount &account, Instant now) const
{
    if (account.rateApplied != account.rateLimit) {
        account.rateApplied = account.rateLimit;
        account.rate.setRate(account.rateLimit, std::max(account.rateLimit * settings.burstSeconds, 1.0), now);
    }
}

void FairQueue::Private::unlinkWaiting(QueueRequest &request)
{
    waiting.erase(waiting.iterator_to(request));
    const double seconds = toSeconds(request.estimate);
    waitingCost = waiting.empty() ? 0 : waitingCost - seconds;
    QueueAccount &account = *request.account;
    account.fifo.erase(account.fifo.iterator_to(request));
    --account.queued;
    account.waitingCost = account.queued == 0 ? 0 : account.waitingCost - seconds;
}

// Long requests can't be interrupted once they run. Without a bound they would take and keep every slot that is briefly
// free. Short requests would then find only as many slots as they need on average, and would wait long whenever they
// need a few more. So an account may hold its own share of the slots with long requests, and only a part of the slots
// that the others leave unused on average.
bool FairQueue::Private::roomForLong(const QueueAccount &account) const
{
    if (capacity <= 0) {
        return true;
    }
    // recentWeight contains the account's own weight in proportion to the time for which it was active.
    const double active = toSeconds(demandSmoothedAt - account.activeSince);
    const double ownRecentWeight =
        account.weight * std::max(active, 0.0) / (std::max(active, 0.0) + DemandSmoothingSeconds);
    const double othersWeight = std::max({ recentWeight - ownRecentWeight, activeWeight - account.weight, 0.0 });
    const double entitled = capacity * account.weight / (account.weight + othersWeight);
    const double others = shortWanted + static_cast<double>(longRunning - account.longRunning);
    const double unused = std::max(capacity - others - entitled, 0.0);
    const double maxLong = std::max(entitled + MaxBorrowedShare * unused, 1.0);
    return account.longRunning + SlotRounding <= maxLong;
}

bool FairQueue::Private::isLong(const QueueRequest &request) const
{
    Duration typical = cost.typicalCost();
    if (fleetTypicalCost > Duration::zero()) {
        typical = std::min(typical, fleetTypicalCost);
    }
    return toSeconds(currentEstimate(request)) > LongFactor * toSeconds(typical);
}

// Returns the expected cost of the request, including what was learned while it waited.
Duration FairQueue::Private::currentEstimate(const QueueRequest &request) const
{
    return cost.estimate(request.account->index, request.route);
}

// Smooths the demand of the accounts. Waiting requests are counted as well as running ones: once long requests have
// taken too many slots, few short ones can run, and their slots would appear unused. Smoothing also keeps a short
// moment without demand from other accounts from counting fully.
void FairQueue::Private::smoothDemand(Instant now)
{
    const double elapsed = std::max(toSeconds(now - demandSmoothedAt), 0.0);
    const double gain = elapsed / (elapsed + DemandSmoothingSeconds);
    const auto wanted = static_cast<double>(running.size() - longRunning + order.size());
    shortWanted += (wanted - shortWanted) * gain;
    recentWeight += (activeWeight - recentWeight) * gain;
    demandSmoothedAt = std::max(now, demandSmoothedAt);
}

// Removes an account from the order until one of its requests ends or some time has passed.
void FairQueue::Private::deferAccount(QueueAccount &account, Instant now)
{
    if (deferred.empty()) {
        deferralEndsAt = now + DeferralTime;
    }
    deferred.push_back(account);
    reorder(account);
}

void FairQueue::Private::endDeferral(QueueAccount &account)
{
    if (account.deferralHook.is_linked()) {
        deferred.erase(deferred.iterator_to(account));
        reorder(account);
    }
}

void FairQueue::Private::endDueDeferrals(Instant now)
{
    while (now >= deferralEndsAt && !deferred.empty()) {
        endDeferral(deferred.front());
    }
}

void FairQueue::Private::start(QueueRequest &request, Instant now)
{
    QueueAccount &account = *request.account;
    advanceVirtualTime(account.virtualTime);
    unlinkWaiting(request);
    request.running = true;
    request.isLong = isLong(request);
    longRunning += request.isLong ? 1 : 0;
    account.longRunning += request.isLong ? 1 : 0;
    request.started = now;
    chargeRequest(request, currentEstimate(request));
    running.insert(request);
    ++account.running;
    ++account.started;
    reorder(account);
}

void FairQueue::Private::setWeight(QueueAccount &account, double weight)
{
    const bool linked = account.orderHook.is_linked();
    if (linked) {
        orderedWeight += weight - account.weight;
    }
    if (account.active()) {
        activeWeight += weight - account.weight;
    }
    account.weight = weight;
}

// Moves the waiting requests that can no longer meet their deadline to `shed`.
void FairQueue::Private::shedLate(Instant now)
{
    while (!waiting.empty() && waiting.begin()->latestStart <= now) {
        QueueRequest &request = *waiting.begin();
        QueueAccount &account = *request.account;
        ++account.refused.expired;
        shed.push_back(request.id);
        dropWaiting(request);
    }
}

void FairQueue::Private::dropWaiting(QueueRequest &request)
{
    QueueAccount &account = *request.account;
    unlinkWaiting(request);
    if (account.queued == 0) {
        endDeferral(account);
    }
    reorder(account);
    deactivateIfIdle(account);
    requests.erase(request.id);
}

} // namespace mulberryplank
