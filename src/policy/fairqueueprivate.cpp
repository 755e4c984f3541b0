#include "fairqueueprivate.h"

namespace mulberryplank
{

using namespace internal;

namespace
{

// A request is long if it is expected to cost this many times what is typical.
constexpr double LongFactor = 8;

// Part of the unused slots that long requests may hold beyond their account's own part.
constexpr double MaxBorrowedShare = 0.75;

// Over which demand is smoothed to tell what slots are left unused.
constexpr double DemandSmoothingSeconds = 2;

// What a part of a slot is rounded by.
constexpr double SlotRounding = 0.5;

// How soon a deferred account is looked at again.
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

// Each account has its part of the whole by weight, so that a full queue of one never keeps another out. With n equal
// accounts filling up one after the other, the sum stays below totalQueue * (1 + 1/2 + ... + 1/n).
std::uint32_t FairQueue::Private::queueBound(const QueueAccount &account) const
{
    const double weights = activeWeight + (account.active() ? 0 : account.weight);
    const auto part = static_cast<std::uint32_t>(totalQueue * account.weight / weights);
    const std::uint32_t bound = std::max(part, settings.accountQueueFloor);
    return account.queueLimit == 0 ? bound : std::min(bound, account.queueLimit);
}

// While anything waits, every slot that this process can have is taken, so that the running requests are the capacity.
double FairQueue::Private::slots() const
{
    return capacity > 0 ? capacity : std::max(static_cast<double>(running.size()), 1.0);
}

// A new request starts when the virtual time reaches its start tag, or earlier when the accounts before it run out of
// requests: never after all the work that waits now, unless others arrive and go first.
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
    // With no share of the queue's limit a request may still pass through, if nothing waits before it.
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

// Nobody waits for anybody: whatever was used until now was free for the taking. All start level again; an account that
// filled an idle service with long downloads would else be shut out for as long once others come.
void FairQueue::Private::resetVirtualTimes()
{
    advanceVirtualTime(largestVirtualTime);
    ++epoch;
}

// Charges a running request, or gives back what it was charged too much. What was forgiven is not given back: that
// would let the account go before all others for as long as its forgiven charges were.
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

// Lets the account compete if it may start something, and takes it out of the order if not.
void FairQueue::Private::reorder(QueueAccount &account)
{
    if (account.mayStart() == account.orderHook.is_linked()) {
        return;
    }
    if (!account.mayStart()) {
        removeFromOrder(account);
        return;
    }
    // Begins to compete: time spent idle, or held back by its own limit, earns nothing.
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

// A request that runs longer than it was charged for is charged as much again. Charging only at its end would let an
// account that sends few huge requests take slot after slot while it still looks cheap.
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

// To be called after an account's last request may have left.
void FairQueue::Private::deactivateIfIdle(QueueAccount &account)
{
    if (!account.countedActive || account.active()) {
        return;
    }
    account.countedActive = false;
    --activeAccounts;
    // Set to zero rather than computed: rounding would otherwise add up over days.
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

// Takes over a changed rate limit at the first request after the change, which brings the time along.
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

// Long requests can't be put off once they run. Without a bound, they would take every slot that is free for a moment
// and keep it: after a while short requests would find only as many slots as they need on average, and wait for long
// whenever they need a few more. So an account may hold its own part of the slots with long requests, and only a part
// of what the others leave unused over time.
bool FairQueue::Private::roomForLong(const QueueAccount &account) const
{
    if (capacity <= 0) {
        return true;
    }
    // The account's own weight is in recentWeight by as much as it was active itself.
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

// What the request is expected to cost by what was learnt while it waited.
Duration FairQueue::Private::currentEstimate(const QueueRequest &request) const
{
    return cost.estimate(request.account->index, request.route);
}

// Follows what the accounts want over time. What waits is counted as well as what runs: once long requests have taken
// too much, few short ones can run, and their slots would seem to be unused. A moment in which nobody else asks for
// anything must not count either.
void FairQueue::Private::smoothDemand(Instant now)
{
    const double elapsed = std::max(toSeconds(now - demandSmoothedAt), 0.0);
    const double gain = elapsed / (elapsed + DemandSmoothingSeconds);
    const auto wanted = static_cast<double>(running.size() - longRunning + order.size());
    shortWanted += (wanted - shortWanted) * gain;
    recentWeight += (activeWeight - recentWeight) * gain;
    demandSmoothedAt = std::max(now, demandSmoothedAt);
}

// Takes an account out of the order until one of its requests ends or some time has passed.
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

// Moves the waiting requests that can't make their deadline any more to `shed`.
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
