#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <unordered_map>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mulberryplank/base/event.h"
#include "mulberryplank/policy/concurrencylimit.h"
#include "mulberryplank/policy/configmodel.h"
#include "mulberryplank/policy/fairqueue.h"
#include "mulberryplank/policy/fleetshares.h"
#include "mulberryplank/policy/hedge.h"
#include "mulberryplank/policy/overload.h"
#include "mulberryplank/policy/retrybudget.h"
#include "mulberryplank/policy/targetchooser.h"
#include "mulberryplank/policy/targethealth.h"
#include "mulberryplank/state/grant.h"

namespace mulberryplank
{

// The state of one target of a service, for the dump and for probes.
struct TargetState {
    TargetHealthView health;
    Endpoint endpoint;
    FailureDomain failureDomain;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    std::uint64_t attempts = 0;
    std::uint64_t failures = 0;
};

// One account's use of a service, for the dump and for billing.
struct AccountState {
    AccountName account;
    std::uint32_t weight = 0;
    Limits limits; // over the whole fleet
    AccountUsage usage;
};

// A summary of a service, for the dump.
struct ServiceSummary {
    ServiceName service;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t floor = 0;
    bool floorBinds = false;
    double retryTokens = 0;
    std::vector<TargetState> targets;
    std::vector<AccountState> accounts;
};

// The result of an attempt, as passed to ServiceState::finish().
struct FinishedAttempt {
    AttemptResult result = AttemptResult::Success;
    std::uint16_t route = NoRoute;
    Duration latency {}; // until the first byte of the response, or until the failure
    Duration slotTime {}; // how long the target's slot was held
    int retryAfterSeconds = 0; // sent with a shed
    std::optional<std::uint32_t> reportedInFlight; // X-Load
    bool targetLeaving = false; // X-Draining
};

// The state of one service in this process: the queue, the targets and their health, the retry budget. Thread-safe: one
// lock guards all of it, and no function calls out while holding it. Commands are in servicestatecommands.cpp,
// servicestateconfigure.cpp and servicestateexchange.cpp, queries in servicestatequeries.cpp.
class ServiceState : public boost::intrusive_ref_counter<ServiceState>
{
public:
    // `self` and `ownDomain` identify this process; `seed` seeds its random choices.
    ServiceState(ServiceName name, PeerId self, FailureDomain ownDomain, std::uint64_t seed, EventSink events);
    ~ServiceState();
    ServiceState(const ServiceState &) = delete;
    ServiceState &operator=(const ServiceState &) = delete;

    // Commands.

    // Applies the configuration. Accounts without a row lose access; their queued attempts are rejected.
    [[nodiscard]] Deliveries configure(const Service &service,
                                       const std::vector<Target> &targets,
                                       const std::vector<Row> &rows,
                                       Instant now);

    // Grants an attempt immediately, rejects it, or queues it and returns nothing. For a queued attempt, calls
    // `makeWaiter` for the waiter that will receive the result. `otherDeliveries` receives results of other attempts
    // that were decided during the call.
    std::optional<AdmissionResult> admit(RequestId request,
                                         const Admission &admission,
                                         const std::function<WaiterPtr()> &makeWaiter,
                                         Instant now,
                                         Deliveries &otherDeliveries);

    // Returns a grant.
    [[nodiscard]] Deliveries finish(const Grant &grant, const FinishedAttempt &finished, Instant now);

    // Removes an attempt from the queue. Returns false if it isn't queued: granted, rejected or unknown.
    bool cancel(RequestId request, Instant now);

    // Advances time: rejects attempts that can't meet their deadline, and updates the health of targets. Must be called
    // 10 times a second.
    [[nodiscard]] Deliveries tick(Instant now);

    // The retry budget, and the latencies that determine the hedge delay.
    bool spendRetry();
    void recordResponse();
    void recordLatency(std::uint16_t route, Duration latency);

    // Marks the targets on the hosts of VMs that are leaving, and unmarks all other targets.
    void setLeavingHosts(const std::vector<std::string> &hosts);

    // Record the result of a probe.
    void recordProbe(
        TargetIndex target, bool leaving, bool cold, std::optional<std::uint32_t> reportedInFlight, Instant now);
    void recordProbeFailure(TargetIndex target, Duration latency, Instant now);

    // Exchange of evidence with the other proxies that are assigned the service.
    void setPeers(const std::vector<PeerId> &peers, Instant now);
    EvidenceReport evidenceReport(Instant now);
    void mergeEvidence(const PeerId &peer, const EvidenceReport &report, Instant now);

    // Exchange of demand and claims, which enforces limits across the fleet. demandReport() and withdrawDemand() return
    // the report to send to the other proxies that are assigned the service, or nothing if none is due.
    std::optional<DemandReport> demandReport(Instant now);
    std::optional<DemandReport> withdrawDemand(Instant now);
    void mergeDemand(const PeerId &peer, const DemandReport &report, Instant now);

    // Queries.

    const ServiceName &name() const
    {
        return m_name;
    }
    std::optional<Duration> hedgeDelay(std::uint16_t route) const;
    ServiceSummary summary() const;
    std::vector<TargetState> targets() const;
    Duration reportInterval() const;
    std::size_t waiting() const;
    std::optional<TargetIndex> targetIndex(const TargetName &target) const;

private:
    struct TargetEntry;
    struct AccountEntry;
    struct PendingAttempt;

    void configureTargets(const std::vector<Target> &targets, Instant now);
    void configureAccounts(const std::vector<Row> &rows);
    void setMaxInFlight();
    void applyShares(Instant now);
    void configureShares(Instant now);
    bool hasRoom(Instant now) const;
    double slotsInService() const;
    bool hasAllowedTarget(const Admission &admission) const;
    void start(RequestId request, Instant now, Deliveries &deliveries);
    AdmissionResult grantFor(RequestId request, const PendingAttempt &pending, Instant now);
    void dispatch(Instant now, Deliveries &deliveries);
    void refuseExpired(Instant now, Deliveries &deliveries);
    void refreshView(std::size_t index, Instant now);
    void refreshViews(Instant now);
    void recordOutstanding(Instant now);
    void recordOutcome(const Grant &grant, const FinishedAttempt &finished, Instant now);
    void logHealthEvents();
    Refusal refusal(ErrorKind kind, AccountIndex account, Instant now) const;
    std::vector<TargetState> targetStates() const;

    const ServiceName m_name;
    const FailureDomain m_ownDomain;
    const EventSink m_events;

    mutable std::mutex m_mutex;
    ServiceHealthSettings m_healthSettings;
    ServiceHealth m_health;
    FairQueue m_queue;
    OverloadControl m_overload;
    std::optional<FleetShares> m_shares; // set by the first configure()
    std::vector<VmName> m_assignedProxies; // including this process
    double m_ownFraction = 1; // of the service's slots; applies while all of them are in use
    Instant m_lastShed {}; // of any target
    RetryBudget m_retryBudget;
    std::mt19937_64 m_random;
    std::uint32_t m_slotsPerTarget = 4;
    std::vector<TargetEntry> m_targets; // by position in m_views
    std::vector<TargetView> m_views;
    std::map<TargetIndex, std::size_t> m_positions; // of targets in m_targets
    std::unordered_map<AccountName, AccountEntry> m_accounts;
    AccountIndex m_nextAccount = 0;
    std::unordered_map<RequestId, PendingAttempt> m_pending;
    std::vector<RequestId> m_waitingForTarget; // dequeued, but all targets that they may use are busy
    std::map<std::uint16_t, HedgeDelay> m_hedgeDelays;
};

using ServiceStatePtr = boost::intrusive_ptr<ServiceState>;

} // namespace mulberryplank
