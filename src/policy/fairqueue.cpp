#include "mulberryplank/policy/fairqueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fairqueueprivate.h"

namespace mulberryplank
{

using namespace internal;

namespace internal
{

// A request may be expected to run for at most this part of the time that it has left. Without this bound a spell of
// slow answers would raise the estimate above every request's time limit; then all would be refused on arrival, none
// would run, and the estimate could never come down again.
constexpr double LargestExpectedPart = 0.5;

// How far the answers of retryAfter() are spread, as a part of the wait.
constexpr double RetrySpread = 1.0;

// Multiples of it, modulo 1, fill the unit interval evenly.
constexpr double GoldenRatio = 0.618'033'988'749'894'9;

constexpr Duration ShortestRetryAfter = Millis(100);

constexpr double ShortestDemandInterval = 0.01; // seconds

} // namespace internal

void Refusals::count(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::RateLimited:
        ++rateLimited;
        break;
    case ErrorKind::InFlightLimited:
        ++inFlightLimited;
        break;
    case ErrorKind::QueueFull:
        ++queueFull;
        break;
    case ErrorKind::DeadlineBeforeStart:
        ++deadlineBeforeStart;
        break;
    default:
        break;
    }
}

std::uint64_t Refusals::total() const
{
    return rateLimited + inFlightLimited + queueFull + deadlineBeforeStart + expired;
}

FairQueue::FairQueue(FairQueueSettings settings)
    : d(std::make_unique<Private>(settings))
{
}

FairQueue::~FairQueue() = default;

void FairQueue::setAccount(AccountIndex index, std::uint32_t weight, Limits localLimits)
{
    QueueAccount &account = d->ensure(index);
    if (!account.present) {
        account.present = true;
        account.virtualTime = d->virtualTime;
    }
    d->setWeight(account, std::max(weight, 1U));
    setLocalLimits(index, localLimits);
}

void FairQueue::setLocalLimits(AccountIndex index, Limits localLimits)
{
    QueueAccount *account = d->find(index);
    if (account == nullptr) {
        return;
    }
    account->rateLimit = localLimits.requestsPerSecond;
    account->inFlightLimit = localLimits.inFlight;
    account->queueLimit = localLimits.queue;
    d->reorder(*account);
}

void FairQueue::setLocalWeight(AccountIndex index, double weight)
{
    QueueAccount *account = d->find(index);
    if (account != nullptr && weight > 0) {
        d->setWeight(*account, weight);
    }
}

void FairQueue::removeAccount(AccountIndex index)
{
    QueueAccount *account = d->find(index);
    if (account == nullptr) {
        return;
    }
    while (!account->fifo.empty()) {
        QueueRequest &request = account->fifo.front();
        d->shed.push_back(request.id);
        d->dropWaiting(request);
    }
    for (QueueRequest &request : d->running) {
        if (request.account == account) {
            request.account = nullptr;
        }
    }
    account->running = 0;
    d->noteInactive(*account);
    if (account->touchedHook.is_linked()) {
        d->touched.erase(d->touched.iterator_to(*account));
    }
    d->cost.forget(index);
    std::destroy_at(account);
    std::construct_at(account)->index = index;
}

void FairQueue::setCapacity(double slots)
{
    d->capacity = slots;
}

void FairQueue::setTotalQueue(std::uint32_t requests)
{
    d->totalQueue = std::max(requests, 1U);
}

Result<void> FairQueue::enqueue(RequestId id, AccountIndex index, std::uint16_t route, Instant deadline, Instant now)
{
    QueueAccount *account = d->find(index);
    if (account == nullptr) {
        return failure(ErrorKind::Forbidden, "the account has no row for this service");
    }
    if (d->requests.contains(id)) {
        return failure(ErrorKind::Internal, "a request of this id is known already");
    }
    d->chargeOverruns(now);
    const Duration estimate = d->cost.estimate(index, route);
    d->noteOffered(*account, estimate);
    d->applyRate(*account, now);
    const Duration expectedRun = std::min(estimate, fromSeconds(toSeconds(deadline - now) * LargestExpectedPart));
    const Instant latestStart = deadline - expectedRun;
    if (const std::optional<ErrorKind> kind = d->refusal(*account, latestStart, now)) {
        account->refused.count(*kind);
        return failure(*kind, "refused before it was queued");
    }
    account->rate.take(now);
    d->addWaiting(*account, id, route, estimate, latestStart);
    return {};
}

std::optional<RequestId> FairQueue::next(Instant now)
{
    d->chargeOverruns(now);
    d->shedLate(now);
    if (d->order.empty()) {
        return std::nullopt;
    }
    QueueRequest &request = d->order.begin()->fifo.front();
    d->start(request, now);
    return request.id;
}

std::vector<RequestId> FairQueue::expired(Instant now)
{
    d->shedLate(now);
    return std::exchange(d->shed, {});
}

std::optional<Instant> FairQueue::nextExpiry() const
{
    if (!d->shed.empty()) {
        return Instant {};
    }
    if (d->waiting.empty()) {
        return std::nullopt;
    }
    return d->waiting.begin()->latestStart;
}

bool FairQueue::cancel(RequestId id, Instant now)
{
    d->chargeOverruns(now);
    const auto found = d->requests.find(id);
    if (found != d->requests.end()) {
        if (found->second.running) {
            return false;
        }
        d->dropWaiting(found->second);
        return true;
    }
    return std::erase(d->shed, id) > 0;
}

void FairQueue::finished(RequestId id, Duration slotTime, Instant now)
{
    d->chargeOverruns(now);
    const auto found = d->requests.find(id);
    if (found == d->requests.end() || !found->second.running) {
        return;
    }
    QueueRequest &request = found->second;
    d->running.erase(d->running.iterator_to(request));
    if (request.account != nullptr) {
        QueueAccount &account = *request.account;
        d->cost.learn(account.index, request.route, slotTime);
        d->chargeRequest(request, d->cost.costOf(slotTime) - request.charged);
        --account.running;
        d->reorder(account);
        d->noteInactive(account);
    }
    d->requests.erase(found);
}

void FairQueue::charge(AccountIndex index, Duration cost)
{
    QueueAccount *account = d->find(index);
    if (account != nullptr) {
        account->used += cost;
        d->addCharge(*account, toSeconds(cost));
    }
}

Duration FairQueue::retryAfter(AccountIndex index, Instant now) const
{
    const QueueAccount *account = d->find(index);
    if (account == nullptr) {
        return ShortestRetryAfter;
    }
    const Duration wait = std::max({ account->rate.untilToken(now), d->expectedWait(*account), ShortestRetryAfter });
    const double turn = static_cast<double>(account->refused.total()) * GoldenRatio;
    return fromSeconds(toSeconds(wait) * (1 + RetrySpread * (turn - std::floor(turn))));
}

AccountUsage FairQueue::usage(AccountIndex index) const
{
    AccountUsage usage;
    const QueueAccount *account = d->find(index);
    if (account == nullptr) {
        return usage;
    }
    const double weights = d->activeWeight + (account->active() ? 0 : account->weight);
    usage.entitled = account->weight / weights;
    usage.used = account->used;
    usage.queued = account->queued;
    usage.running = account->running;
    usage.started = account->started;
    usage.refused = account->refused;
    return usage;
}

std::vector<AccountDemand> FairQueue::takeDemand(Instant now)
{
    const double seconds = std::max(toSeconds(now - d->demandTaken), ShortestDemandInterval);
    d->demandTaken = now;
    std::vector<AccountDemand> demands;
    for (auto at = d->touched.begin(); at != d->touched.end();) {
        QueueAccount &account = *at;
        demands.push_back(account.takeDemand(seconds));
        at = account.active() ? std::next(at) : d->touched.erase(at);
    }
    return demands;
}

std::size_t FairQueue::waiting() const
{
    return d->waiting.size();
}

std::size_t FairQueue::running() const
{
    return d->running.size();
}

const CostModel &FairQueue::costModel() const
{
    return d->cost;
}

} // namespace mulberryplank
