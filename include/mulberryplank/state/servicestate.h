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

// One target of a service, for the dump and for probes.
struct TargetState {
    TargetHealthView health;
    Endpoint endpoint;
    FailureDomain failureDomain;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    std::uint64_t attempts = 0;
    std::uint64_t failures = 0;
};

// One account's use of a service, for the dump and for bills.
struct AccountState {
    AccountName account;
    std::uint32_t weight = 0;
    Limits limits; // over the whole fleet
    AccountUsage usage;
};

// A service as a whole, for the dump.
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

// How an attempt ended, as ServiceState::finish() needs it.
struct FinishedAttempt {
    AttemptResult result = AttemptResult::Success;
    std::uint16_t route = NoRoute;
    Duration latency {}; // until the first byte of the answer, or until it failed
    Duration slotTime {}; // how long the target's slot was held
    int retryAfterSeconds = 0; // of a shed
    std::optional<std::uint32_t> reportedInFlight; // X-Load
    bool targetLeaving = false; // X-Draining
};

// Everything that one process knows of one service: the queue, the targets and their health, the retry budget. Its own
// lock guards all of it; no function calls out while holding it. Commands are in servicestatecommands.cpp,
// servicestateconfigure.cpp and servicestateexchange.cpp, queries in servicestatequeries.cpp.
class ServiceState : public boost::intrusive_ref_counter<ServiceState>
{
public:
    // `self` and `ownDomain` are this process; `seed` decides its random choices.
    ServiceState(ServiceName name, PeerId self, FailureDomain ownDomain, std::uint64_t seed, EventSink events);
    ~ServiceState();
    ServiceState(const ServiceState &) = delete;
    ServiceState &operator=(const ServiceState &) = delete;

    // Commands.

    // Takes over the configuration. Accounts without a row lose access; their waiting attempts are refused.
    [[nodiscard]] Deliveries configure(const Service &service,
                                       const std::vector<Target> &targets,
                                       const std::vector<Row> &rows,
                                       Instant now);

    // Lets an attempt through at once, refuses it, or returns nothing and queues it: then `makeWaiter` was called for
    // the waiter that will be told. `otherDeliveries` are for attempts that got their turn meanwhile.
    std::optional<AdmissionResult> admit(RequestId request,
                                         const Admission &admission,
                                         const std::function<WaiterPtr()> &makeWaiter,
                                         Instant now,
                                         Deliveries &otherDeliveries);

    // Gives a grant back.
    [[nodiscard]] Deliveries finish(const Grant &grant, const FinishedAttempt &finished, Instant now);

    // Takes a queued attempt back. Returns false when it is not queued: granted, refused or unknown.
    bool cancel(RequestId request, Instant now);

    // Moves time on: refuses attempts that can't make their deadline, decides on targets. To be called 10 times a
    // second.
    [[nodiscard]] Deliveries tick(Instant now);

    // The retry budget and the latency that hedging goes by.
    bool spendRetry();
    void recordResponse();
    void recordLatency(std::uint16_t route, Duration latency);

    // Marks targets on a VM that is leaving, and unmarks the otherDeliveries.
    void setLeavingHosts(const std::vector<std::string> &hosts);

    // The result of a probe.
    void recordProbe(
        TargetIndex target, bool leaving, bool cold, std::optional<std::uint32_t> reportedInFlight, Instant now);
    void recordProbeFailure(TargetIndex target, Duration latency, Instant now);

    // The exchange of evidence with the other proxies that carry the service.
    void setPeers(const std::vector<PeerId> &peers, Instant now);
    EvidenceReport evidenceReport(Instant now);
    void mergeEvidence(const PeerId &peer, const EvidenceReport &report, Instant now);

    // The exchange of demand and claims, by which limits hold for the fleet. Returns the report to send to the other
    // proxies that carry the service, if one is due.
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
    std::optional<FleetShares> m_shares; // from the first configuration on
    std::vector<VmName> m_assignedProxies; // this process included
    double m_ownFraction = 1; // of the service's slots, while all of them are taken
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
    std::vector<RequestId> m_waitingForTarget; // had their turn, and wait for a target that they may go to
    std::map<std::uint16_t, HedgeDelay> m_hedgeDelays;
};

using ServiceStatePtr = boost::intrusive_ptr<ServiceState>;

} // namespace mulberryplank
