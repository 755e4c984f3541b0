#include <algorithm>
#include <chrono>

#include "mulberryplank/state/servicestate.h"
#include "servicestateentries.h"

namespace mulberryplank
{

namespace internal
{

constexpr Duration ShedMemory = Seconds(1);

ServiceHealthSettings healthSettings(const PeerId &self)
{
    ServiceHealthSettings settings;
    settings.self = self;
    return settings;
}

// An account's limit is spread over several proxies. With the queue's own burst of a twentieth of a second, callers
// that stay well below their limit were refused whenever two of their requests came close together.
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
    , m_carriers { self.vm }
    , m_random(seed)
{
}

ServiceState::~ServiceState() = default;

Refusal ServiceState::refusal(ErrorKind kind, AccountIndex account, Instant now) const
{
    const int standard = errorAnswer(kind).retryAfterSeconds;
    if (standard == 0) {
        return Refusal { kind, 0 };
    }
    const auto wait = std::chrono::ceil<Seconds>(m_queue.retryAfter(account, now));
    return Refusal { kind, std::max(1, static_cast<int>(wait.count())) };
}

std::optional<Admitted> ServiceState::admit(RequestId request,
                                            const Admission &admission,
                                            const std::function<WaiterPtr()> &makeWaiter,
                                            Instant now,
                                            Deliveries &others)
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
    refuseExpired(now, others);
    if (!admission.extra) {
        const Result<void> queued = m_queue.enqueue(request, index, admission.route, admission.deadline, now);
        if (!queued) {
            return tl::make_unexpected(refusal(queued.error().kind, index, now));
        }
    }
    m_pending.emplace(request, Pending { admission, index, nullptr, {} });
    Deliveries deliveries;
    if (admission.extra) {
        // Its request has had its turn. It would otherwise use up the account's rate: while targets are sick, callers
        // well below their limit were refused for the retries made on their behalf.
        start(request, now, deliveries);
    }
    dispatch(now, deliveries);
    // The attempt's own turn may have come at once: it has no waiter yet, so it is the delivery without one.
    std::optional<Admitted> own;
    for (Delivery &delivery : deliveries) {
        if (delivery.waiter) {
            others.push_back(std::move(delivery));
        } else {
            own = std::move(delivery.admitted);
        }
    }
    if (!own) {
        m_pending.find(request)->second.waiter = makeWaiter();
    }
    return own;
}

// The carriers see the same targets and can't see each other's requests there. While targets shed, all slots are taken:
// a proxy that went on at its limits would take slots from those whose accounts are entitled to them, and weights would
// hold within each proxy only. So for a moment after a shed each keeps to its part.
bool ServiceState::hasRoom(Instant now) const
{
    const bool slotsAreTaken = now - m_lastShed < internal::ShedMemory;
    const double part = std::max(1.0, m_ownPart * slotsInService());
    if (slotsAreTaken && static_cast<double>(m_queue.running()) >= part) {
        return false;
    }
    return std::any_of(m_views.begin(), m_views.end(), &acceptsRequests);
}

Admitted ServiceState::grantFor(RequestId request, const Pending &pending, Instant now)
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
    const std::vector<RequestId> parked = std::move(m_parked);
    m_parked.clear();
    for (const RequestId request : parked) {
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

// Returns true if some target in service isn't excluded: only then is there anything to wait for.
bool ServiceState::hasAllowedTarget(const Admission &admission) const
{
    return std::any_of(m_views.begin(), m_views.end(), [&admission](const TargetView &view) {
        const auto excluded = std::find(admission.excluded.begin(), admission.excluded.end(), view.index);
        return internal::isInService(view) && excluded == admission.excluded.end();
    });
}

// Gives the attempt a target, or parks it: it has had its turn, but every target that it may go to is busy. A retry
// excludes the targets that failed it, so this happens while others have room.
void ServiceState::start(RequestId request, Instant now, Deliveries &deliveries)
{
    const auto found = m_pending.find(request);
    if (found == m_pending.end()) {
        return;
    }
    Pending &pending = found->second;
    const bool mayWait = now < pending.admission.deadline && hasAllowedTarget(pending.admission);
    Admitted admitted = grantFor(request, pending, now);
    if (!admitted && mayWait) {
        m_parked.push_back(request);
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

void ServiceState::noteOutcomeOf(const Grant &grant, const Finished &finished, Instant now)
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
    if (finished.targetLeaving != entry.leavingBySelf && finished.result != AttemptResult::Cancelled) {
        entry.leavingBySelf =
            finished.targetLeaving || (entry.leavingBySelf && internal::countsAsFailure(finished.result));
        m_health.setLeaving(entry.index, entry.leavingBySelf || entry.leavingByVmList);
    }
    if (view.inFlight > 0) {
        --view.inFlight;
    }
    refreshView(position->second, now);
}

Deliveries ServiceState::finish(const Grant &grant, const Finished &finished, Instant now)
{
    const std::lock_guard lock(m_mutex);
    Deliveries deliveries;
    noteOutcomeOf(grant, finished, now);
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
    const auto parked = std::find(m_parked.begin(), m_parked.end(), request);
    if (parked != m_parked.end()) {
        m_parked.erase(parked);
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

void ServiceState::noteOutstanding(Instant now)
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
        noteOutstanding(now);
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

void ServiceState::noteAnswered()
{
    const std::lock_guard lock(m_mutex);
    m_retryBudget.onSuccess();
}

void ServiceState::noteLatency(std::uint16_t route, Duration latency)
{
    const std::lock_guard lock(m_mutex);
    m_hedgeDelays[route].recordLatency(latency);
}

} // namespace mulberryplank
