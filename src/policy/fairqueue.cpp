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
constexpr double MaxExpectedRunShare = 0.5;

// A request is started only if this many times its estimate is left. Half of all requests take longer than estimated;
// slots spent on answers that come too late are lost for all.
constexpr int RunMargin = 2;

// How far the answers of retryAfter() are spread, as a part of the wait.
constexpr double RetrySpread = 1.0;

// Multiples of it, modulo 1, fill the unit interval evenly.
constexpr double GoldenRatio = 0.618'033'988'749'894'9;

constexpr Duration MinRetryAfter = Millis(100);

constexpr double MinDemandInterval = 0.01; // seconds

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
    : m_d(std::make_unique<Private>(settings))
{
}

FairQueue::~FairQueue() = default;

void FairQueue::setAccount(AccountIndex index, std::uint32_t weight, Limits localLimits)
{
    QueueAccount &account = m_d->ensure(index);
    if (!account.present) {
        account.present = true;
        account.virtualTime = m_d->virtualTime;
    }
    m_d->setWeight(account, std::max(weight, 1U));
    setLocalLimits(index, localLimits);
}

void FairQueue::setLocalLimits(AccountIndex index, Limits localLimits)
{
    QueueAccount *account = m_d->find(index);
    if (account == nullptr) {
        return;
    }
    account->rateLimit = localLimits.requestsPerSecond;
    account->inFlightLimit = localLimits.inFlight;
    account->queueLimit = localLimits.queue;
    m_d->reorder(*account);
}

void FairQueue::setLocalWeight(AccountIndex index, double weight)
{
    QueueAccount *account = m_d->find(index);
    if (account != nullptr && weight > 0) {
        m_d->setWeight(*account, weight);
    }
}

void FairQueue::removeAccount(AccountIndex index)
{
    QueueAccount *account = m_d->find(index);
    if (account == nullptr) {
        return;
    }
    while (!account->fifo.empty()) {
        QueueRequest &request = account->fifo.front();
        m_d->shed.push_back(request.id);
        m_d->dropWaiting(request);
    }
    for (QueueRequest &request : m_d->running) {
        if (request.account == account) {
            request.account = nullptr;
        }
    }
    account->running = 0;
    account->longRunning = 0;
    m_d->deactivateIfIdle(*account);
    if (account->demandHook.is_linked()) {
        m_d->accountsWithDemand.erase(m_d->accountsWithDemand.iterator_to(*account));
    }
    m_d->cost.forget(index);
    std::destroy_at(account);
    std::construct_at(account)->index = index;
}

void FairQueue::setCapacity(double slots)
{
    m_d->capacity = slots;
}

void FairQueue::setTypicalCost(Duration cost)
{
    m_d->fleetTypicalCost = cost;
}

void FairQueue::setTotalQueue(std::uint32_t requests)
{
    m_d->totalQueue = std::max(requests, 1U);
}

Result<void> FairQueue::enqueue(RequestId id, AccountIndex index, std::uint16_t route, Instant deadline, Instant now)
{
    QueueAccount *account = m_d->find(index);
    if (account == nullptr) {
        return failure(ErrorKind::Forbidden, "the account has no row for this service");
    }
    if (m_d->requests.contains(id)) {
        return failure(ErrorKind::Internal, "a request of this id is known already");
    }
    m_d->chargeOverruns(now);
    const Duration estimate = m_d->cost.estimate(index, route);
    m_d->recordOffered(*account, estimate);
    m_d->applyRateLimit(*account, now);
    const Duration expectedRun =
        std::min(RunMargin * estimate, fromSeconds(toSeconds(deadline - now) * MaxExpectedRunShare));
    const Instant latestStart = deadline - expectedRun;
    if (const std::optional<ErrorKind> kind = m_d->refusal(*account, latestStart, now)) {
        account->refused.count(*kind);
        return failure(*kind, "refused before it was queued");
    }
    account->rate.take(now);
    m_d->addWaiting(*account, id, route, estimate, latestStart);
    return {};
}

std::optional<RequestId> FairQueue::next(Instant now)
{
    m_d->chargeOverruns(now);
    m_d->shedLate(now);
    m_d->smoothDemand(now);
    m_d->endDueDeferrals(now);
    while (!m_d->order.empty()) {
        QueueAccount &account = *m_d->order.begin();
        QueueRequest &request = account.fifo.front();
        if (m_d->isLong(request) && !m_d->roomForLong(account)) {
            m_d->deferAccount(account, now);
            continue;
        }
        m_d->start(request, now);
        return request.id;
    }
    return std::nullopt;
}

std::vector<RequestId> FairQueue::expired(Instant now)
{
    m_d->shedLate(now);
    return std::exchange(m_d->shed, {});
}

std::optional<Instant> FairQueue::nextExpiry() const
{
    if (!m_d->shed.empty()) {
        return Instant {};
    }
    if (m_d->waiting.empty()) {
        return std::nullopt;
    }
    return m_d->waiting.begin()->latestStart;
}

bool FairQueue::cancel(RequestId id, Instant now)
{
    m_d->chargeOverruns(now);
    const auto found = m_d->requests.find(id);
    if (found != m_d->requests.end()) {
        if (found->second.running) {
            return false;
        }
        m_d->dropWaiting(found->second);
        return true;
    }
    return std::erase(m_d->shed, id) > 0;
}

void FairQueue::finished(RequestId id, Duration slotTime, Instant now)
{
    m_d->chargeOverruns(now);
    const auto found = m_d->requests.find(id);
    if (found == m_d->requests.end() || !found->second.running) {
        return;
    }
    QueueRequest &request = found->second;
    m_d->running.erase(m_d->running.iterator_to(request));
    m_d->longRunning -= request.isLong ? 1 : 0;
    if (request.account != nullptr) {
        QueueAccount &account = *request.account;
        m_d->cost.learn(account.index, request.route, slotTime);
        m_d->chargeRequest(request, m_d->cost.costOf(slotTime) - request.charged);
        --account.running;
        account.longRunning -= request.isLong ? 1 : 0;
        m_d->endDeferral(account);
        m_d->reorder(account);
        m_d->deactivateIfIdle(account);
    }
    m_d->requests.erase(found);
}

void FairQueue::charge(AccountIndex index, Duration cost)
{
    QueueAccount *account = m_d->find(index);
    if (account != nullptr) {
        account->used += cost;
        m_d->addCharge(*account, toSeconds(cost));
    }
}

Duration FairQueue::retryAfter(AccountIndex index, Instant now) const
{
    const QueueAccount *account = m_d->find(index);
    if (account == nullptr) {
        return MinRetryAfter;
    }
    const Duration wait = std::max({ account->rate.untilToken(now), m_d->expectedWait(*account), MinRetryAfter });
    const double spreadPosition = static_cast<double>(account->refused.total()) * GoldenRatio;
    return fromSeconds(toSeconds(wait) * (1 + RetrySpread * (spreadPosition - std::floor(spreadPosition))));
}

AccountUsage FairQueue::usage(AccountIndex index) const
{
    AccountUsage usage;
    const QueueAccount *account = m_d->find(index);
    if (account == nullptr) {
        return usage;
    }
    const double weights = m_d->activeWeight + (account->active() ? 0 : account->weight);
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
    const double seconds = std::max(toSeconds(now - m_d->demandTakenAt), MinDemandInterval);
    m_d->demandTakenAt = now;
    std::vector<AccountDemand> demands;
    for (auto at = m_d->accountsWithDemand.begin(); at != m_d->accountsWithDemand.end();) {
        QueueAccount &account = *at;
        demands.push_back(account.takeDemand(seconds));
        at = account.active() ? std::next(at) : m_d->accountsWithDemand.erase(at);
    }
    return demands;
}

std::size_t FairQueue::waiting() const
{
    return m_d->waiting.size();
}

std::size_t FairQueue::running() const
{
    return m_d->running.size();
}

const CostModel &FairQueue::costModel() const
{
    return m_d->cost;
}

} // namespace mulberryplank
