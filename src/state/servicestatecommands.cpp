#include <algorithm>
#include <chrono>

#include "mulberryplank/state/servicestate.h"
#include "servicestateentries.h"

namespace mulberryplank
{

namespace internal
{

// How long after a shed all slots are regarded as in use.
constexpr Duration ShedHoldTime = Seconds(1);

ServiceHealthSettings healthSettings(const PeerId &self)
{
    ServiceHealthSettings settings;
    settings.self = self;
    return settings;
}

// An account's limit is divided among several proxies. With the queue's default burst of a twentieth of a second,
// callers well below their limit would be rejected whenever two of their requests arrived close together.
FairQueueSettings queueSettings()
{
    FairQueueSettings settings;
    settings.burstSeconds = 0.25;
    return settings;
}

bool isInService(const TargetView &target)
{
    return target.phase != TargetPhase::Ejected && target.phase != TargetPhase::Draining;
}

bool countsAsFailure(AttemptResult result)
{
    return result != AttemptResult::Success && result != AttemptResult::Shed && result != AttemptResult::Cancelled;
}

} // namespace internal

ServiceState::ServiceState(ServiceName name, PeerId self, FailureDomain ownDomain, std::uint64_t seed, EventSink events)
    : m_name(std::move(name))
    , m_ownDomain(std::move(ownDomain))
    , m_events(std::move(events))
    , m_healthSettings(internal::healthSettings(self))
    , m_health(m_healthSettings, seed)
    , m_queue(internal::queueSettings())
    , m_overload(OverloadSettings {})
    , m_assignedProxies { self.vm }
    , m_random(seed)
{
}

ServiceState::~ServiceState() = default;

Refusal ServiceState::refusal(ErrorKind kind, AccountIndex account, Instant now) const
{
    const int standard = errorInfo(kind).retryAfterSeconds;
    if (standard == 0) {
        return Refusal { kind, 0 };
    }
    const auto wait = std::chrono::ceil<Seconds>(m_queue.retryAfter(account, now));
    return Refusal { kind, std::max(1, static_cast<int>(wait.count())) };
}

std::optional<AdmissionResult> ServiceState::admit(RequestId request,
                                                   const Admission &admission,
                                                   const std::function<WaiterPtr()> &makeWaiter,
                                                   Instant now,
                                                   Deliveries &otherDeliveries)
{
    const std::lock_guard lock(m_mutex);
    const auto account = m_accounts.find(admission.account);
    if (account == m_accounts.end()) {
        return tl::make_unexpected(Refusal { ErrorKind::Forbidden, 0 });
    }
    if (m_targets.empty()) {
        return tl::make_unexpected(refusal(ErrorKind::NoTarget, account->second.index, now));
    }
    const AccountIndex index = account->second.index;
    refuseExpired(now, otherDeliveries);
    if (!admission.extra) {
        const Result<void> queued = m_queue.enqueue(request, index, admission.route, admission.deadline, now);
        if (!queued) {
            return tl::make_unexpected(refusal(queued.error().kind, index, now));
        }
    }
    m_pending.emplace(request, PendingAttempt { admission, index, nullptr, {} });
    Deliveries deliveries;
    if (admission.extra) {
        // Its request has already left the queue once. If the attempt counted against the account's rate, callers well
        // below their limit would be rejected because of retries made for them while targets are faulty.
        start(request, now, deliveries);
    }
    dispatch(now, deliveries);
    // This attempt may have been granted or rejected already. It has no waiter yet, so its delivery is the one without
    // a waiter.
    std::optional<AdmissionResult> own;
    for (Delivery &delivery : deliveries) {
        if (delivery.waiter) {
            otherDeliveries.push_back(std::move(delivery));
        } else {
            own = std::move(delivery.admitted);
        }
    }
    if (!own) {
        m_pending.find(request)->second.waiter = makeWaiter();
    }
    return own;
}

// The assigned proxies use the same targets but can't see each other's requests there. While targets shed, all slots
// are in use: a proxy that continued up to its limits would take slots from proxies whose accounts are entitled to
// them, and weights would hold only within each proxy. So for a short time after a shed, each proxy uses only its own
// fraction of the slots.
bool ServiceState::hasRoom(Instant now) const
{
    const bool slotsAreTaken = now - m_lastShed < internal::ShedHoldTime;
    const double ownSlots = std::max(1.0, m_ownFraction * slotsInService());
    if (slotsAreTaken && static_cast<double>(m_queue.running()) >= ownSlots) {
        return false;
    }
    return std::any_of(m_views.begin(), m_views.end(), &acceptsRequests);
}

AdmissionResult ServiceState::grantFor(RequestId request, const PendingAttempt &pending, Instant now)
{
    const Admission &admission = pending.admission;
    std::optional<TargetIndex> target = admission.only;
    if (!target || !m_positions.contains(*target)) {
        ChooseRequest wanted;
        wanted.idempotent = admission.idempotent;
        wanted.failureDomain = m_ownDomain;
        wanted.excluded = admission.excluded;
        target = choose(m_views, wanted, m_random);
    }
    if (!target) {
        return tl::make_unexpected(refusal(ErrorKind::NoTarget, pending.account, now));
    }
    const std::size_t position = m_positions.at(*target);
    TargetEntry &entry = m_targets[position];
    ++m_views[position].inFlight;
    ++entry.attempts;
    entry.waitingSince.insert(now);
    return Grant { request, *target, entry.target.name, entry.endpoint };
}

void ServiceState::dispatch(Instant now, Deliveries &deliveries)
{
    const std::vector<RequestId> waitingForTarget = std::move(m_waitingForTarget);
    m_waitingForTarget.clear();
    for (const RequestId request : waitingForTarget) {
        start(request, now, deliveries);
    }
    while (m_queue.waiting() > 0 && hasRoom(now)) {
        const std::optional<RequestId> request = m_queue.next(now);
        if (!request) {
            return;
        }
        start(*request, now, deliveries);
    }
}

// Returns true if some target in service isn't excluded. Otherwise, waiting would be useless.
bool ServiceState::hasAllowedTarget(const Admission &admission) const
{
    return std::any_of(m_views.begin(), m_views.end(), [&admission](const TargetView &view) {
        const auto excluded = std::find(admission.excluded.begin(), admission.excluded.end(), view.index);
        return internal::isInService(view) && excluded == admission.excluded.end();
    });
}

// Grants a dequeued attempt a target, or keeps it waiting while every target that it may use is busy. A retry excludes
// the targets where it failed, so it may have to wait while those targets have free slots.
void ServiceState::start(RequestId request, Instant now, Deliveries &deliveries)
{
    const auto found = m_pending.find(request);
    if (found == m_pending.end()) {
        return;
    }
    PendingAttempt &pending = found->second;
    const bool mayWait = now < pending.admission.deadline && hasAllowedTarget(pending.admission);
    AdmissionResult admitted = grantFor(request, pending, now);
    if (!admitted && mayWait) {
        m_waitingForTarget.push_back(request);
        return;
    }
    deliveries.push_back(Delivery { std::move(pending.waiter), admitted });
    if (admitted) {
        pending.startedAt = now;
        return;
    }
    m_queue.finished(request, Duration {}, now);
    m_pending.erase(found);
}

void ServiceState::refuseExpired(Instant now, Deliveries &deliveries)
{
    for (const RequestId request : m_queue.expired(now)) {
        const auto found = m_pending.find(request);
        if (found == m_pending.end()) {
            continue;
        }
        const Refusal why = refusal(ErrorKind::DeadlineBeforeStart, found->second.account, now);
        deliveries.push_back(Delivery { std::move(found->second.waiter), tl::make_unexpected(why) });
        m_pending.erase(found);
    }
}

void ServiceState::recordOutcome(const Grant &grant, const FinishedAttempt &finished, Instant now)
{
    const auto position = m_positions.find(grant.target);
    if (position == m_positions.end()) {
        return;
    }
    TargetEntry &entry = m_targets[position->second];
    TargetView &view = m_views[position->second];
    const auto pending = m_pending.find(grant.request);
    if (pending != m_pending.end()) {
        const auto since = entry.waitingSince.find(pending->second.startedAt);
        if (since != entry.waitingSince.end()) {
            entry.waitingSince.erase(since);
        }
    }
    m_health.observe(Attempt { grant.target, finished.route, finished.result, finished.latency }, now);
    if (finished.result == AttemptResult::Shed) {
        entry.limit.shed(Seconds(finished.retryAfterSeconds), now);
        m_lastShed = now;
    } else if (finished.result == AttemptResult::Success) {
        entry.limit.onResponse(view.inFlight, finished.latency, view.expectedLatency);
    }
    if (internal::countsAsFailure(finished.result)) {
        ++entry.failures;
    }
    if (finished.reportedInFlight) {
        entry.reportedInFlight = finished.reportedInFlight;
        entry.reportedAt = now;
    }
    if (finished.targetLeaving != entry.leavingByOwnReport && finished.result != AttemptResult::Cancelled) {
        entry.leavingByOwnReport =
            finished.targetLeaving || (entry.leavingByOwnReport && internal::countsAsFailure(finished.result));
        m_health.setLeaving(entry.index, entry.leavingByOwnReport || entry.leavingByVmList);
    }
    if (view.inFlight > 0) {
        --view.inFlight;
    }
    refreshView(position->second, now);
}

Deliveries ServiceState::finish(const Grant &grant, const FinishedAttempt &finished, Instant now)
{
    const std::lock_guard lock(m_mutex);
    Deliveries deliveries;
    recordOutcome(grant, finished, now);
    const auto pending = m_pending.find(grant.request);
    if (pending != m_pending.end() && pending->second.admission.extra) {
        m_queue.charge(pending->second.account, finished.slotTime);
    } else {
        m_queue.finished(grant.request, finished.slotTime, now);
    }
    m_pending.erase(grant.request);
    refuseExpired(now, deliveries);
    dispatch(now, deliveries);
    return deliveries;
}

bool ServiceState::cancel(RequestId request, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto waitingForTarget = std::find(m_waitingForTarget.begin(), m_waitingForTarget.end(), request);
    if (waitingForTarget != m_waitingForTarget.end()) {
        m_waitingForTarget.erase(waitingForTarget);
        m_queue.finished(request, Duration {}, now);
    } else if (!m_queue.cancel(request, now)) {
        return false;
    }
    m_pending.erase(request);
    return true;
}

double ServiceState::slotsInService() const
{
    const auto inService = std::count_if(m_views.begin(), m_views.end(), &internal::isInService);
    return static_cast<double>(inService) * m_slotsPerTarget;
}

void ServiceState::refreshView(std::size_t index, Instant now)
{
    TargetView &view = m_views[index];
    const TargetEntry &entry = m_targets[index];
    view.phase = m_health.phase(view.index);
    view.weight = m_health.weight(view.index);
    view.limit = entry.limit.limit(now);
    view.expectedLatency = m_health.expectedLatency(view.index);
    view.reportedInFlight = entry.reportedInFlight;
    view.reportAge = now - entry.reportedAt;
}

void ServiceState::refreshViews(Instant now)
{
    double capacity = 0;
    for (std::size_t index = 0; index < m_views.size(); ++index) {
        refreshView(index, now);
        capacity += m_views[index].weight * m_views[index].limit;
    }
    m_queue.setCapacity(capacity);
    m_queue.setTotalQueue(m_overload.update(capacity, m_queue.costModel().averageCost(), now));
}

void ServiceState::recordOutstanding(Instant now)
{
    for (const TargetEntry &entry : m_targets) {
        if (entry.waitingSince.empty()) {
            continue;
        }
        const Duration oldest = now - *entry.waitingSince.begin();
        const auto young = entry.waitingSince.upper_bound(now - oldest / 2);
        const auto waiting = static_cast<std::uint32_t>(std::distance(entry.waitingSince.begin(), young));
        m_health.observeOutstanding(entry.index, oldest, now, waiting);
    }
}

Deliveries ServiceState::tick(Instant now)
{
    Deliveries deliveries;
    {
        const std::lock_guard lock(m_mutex);
        recordOutstanding(now);
        m_health.tick(now);
        refreshViews(now);
        if (m_shares && now >= m_shares->leaseEnd()) {
            applyShares(now);
        }
        refuseExpired(now, deliveries);
        dispatch(now, deliveries);
    }
    logHealthEvents();
    return deliveries;
}

void ServiceState::logHealthEvents()
{
    std::vector<HealthEvent> events;
    {
        const std::lock_guard lock(m_mutex);
        events = m_health.takeEvents();
    }
    for (const HealthEvent &event : events) {
        m_events(event.event,
                 { { "service", m_name.value() }, { "target", event.target.value() }, { "detail", event.detail } });
    }
}

bool ServiceState::spendRetry()
{
    const std::lock_guard lock(m_mutex);
    return m_retryBudget.trySpend();
}

void ServiceState::recordResponse()
{
    const std::lock_guard lock(m_mutex);
    m_retryBudget.onSuccess();
}

void ServiceState::recordLatency(std::uint16_t route, Duration latency)
{
    const std::lock_guard lock(m_mutex);
    m_hedgeDelays[route].recordLatency(latency);
}

} // namespace mulberryplank
