#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "mulberryplank/policy/domainshares.h"
#include "mulberryplank/policy/domainspill.h"
#include "mulberryplank/policy/exploration.h"
#include "mulberryplank/policy/faultmodel.h"
#include "mulberryplank/policy/routestatistics.h"
#include "mulberryplank/policy/routetable.h"
#include "mulberryplank/policy/targetdirectory.h"
#include "mulberryplank/policy/targethealth.h"
#include "mulberryplank/policy/targetratelimit.h"

namespace mulberryplank
{

// The load that a target reports with a response.
struct ReportedLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

// Settings of the cost function. All costs are times: the balancer selects the target with the minimum expected cost of
// a request.
struct BalancerSettings {
    FailureDomain ownDomain;
    Duration heartbeat = Millis(1'500); // of the targets
    // The cost of the bytes of a request and its response when they cross failure domains, in bytes for each
    // millisecond of delay that is preferred to the transfer. Transfers between domains are billed. At 300 bytes per
    // millisecond a large response stays in its domain unless that costs it some hundred milliseconds, and a small one
    // uses the target that responds first.
    double bytesPerMilli = 300;
    Duration crossDomainRoundTrip = Millis(3); // network latency of a transfer between domains
    // The maximum expected time that a request gives up in order to stay in its domain, as a share of its target
    // latency. 0: requests may leave at any time, by the costs alone.
    double stayShare = 0;
};

// Describes the request that a target is selected for.
struct TargetSelection {
    const HostRoute *route = nullptr; // must not be nullptr
    std::vector<TargetName> excluded; // targets that were already tried
    std::function<bool(const Endpoint &)> connected; // whether an open connection to the target is available
    bool isLast = false; // no further attempt can follow this one
    std::size_t requestBytes = 0; // size of its body
    std::optional<Duration> timeLeft {}; // until its deadline

    // Returns true if the request fails when this attempt fails.
    bool failsWithAttempt() const
    {
        return isLast || !isIdempotent(route->kind);
    }
};

// The outcome of an attempt.
struct AttemptOutcome {
    AttemptResult result = AttemptResult::Success;
    Duration latency {}; // until the last byte of the response, or until the failure
    std::size_t responseBytes = 0;
    std::optional<ReportedLoad> load;
};

// The target selected for a request.
struct ChosenTarget {
    TargetName id;
    Endpoint endpoint;
    double risk = 0; // estimated probability that an attempt at this target fails
    double load = 0; // estimated number of requests at the target, of all callers
    double expectedMillis = 0; // until the response
    std::optional<Duration> loadAge {}; // of the target's last report; empty if it has sent none
    bool wasUnused = false; // selected because it was unused; must be reported to the other proxies at once
    FailureDomain failureDomain; // the target's
    bool leavesDomain = false; // the target is in another failure domain
    std::optional<SpillReason> reason {}; // why the request leaves; empty while it isn't bound to its domain
};

// A target became suspected of being faulty, or is no longer suspected.
struct SuspicionChange {
    TargetName id;
    FailureDomain failureDomain;
    bool suspected = false;
    double faultProbability = 0; // the probability that it is faulty
    AttemptResult evidence = AttemptResult::Success; // the result, at any proxy, that caused the change
};

using SuspicionHook = std::function<void(const SuspicionChange &)>;

// Called with the endpoint of a target that has restarted. Connections to its previous instance are invalid.
using RestartHook = std::function<void(const Endpoint &)>;

// Returns which part of a target's rate limit this process may use.
using RateLimitShareHook = std::function<RateLimitShare(const AnnouncedTarget &, double perSecond)>;

// The state of one target in the dump.
struct BalancedTarget {
    AnnouncedTarget target;
    std::uint32_t inFlight = 0;
    double risk = 0;
    double load = 0;
    double slowness = 1;
    std::optional<double> rateLimit; // requests per second from all proxies together
};

// What one process knows of a target, for another one.
struct TargetKnowledge {
    TargetName id;
    double faultProbability = 0;
    double load = 0; // requests of all callers
    Instant usedAt {}; // when any process last sent it a request
};

// Number of a service's targets by state.
struct TargetCounts {
    std::uint32_t trusted = 0;
    std::uint32_t suspected = 0;
    std::uint32_t draining = 0;
};

// Selects targets of one service by expected cost. The cost consists of the time until the response, given the target's
// speed and load; the risk that the attempt fails, weighted by the cost of a failure for this kind of request; and the
// bill for bytes that cross failure domains.
//
// The risk comes from a FaultModel. While many targets become faulty, requests stay with targets that have responded
// recently; while none do, old evidence adds no cost. No target is ever ruled out: when the other targets are full,
// suspected targets are used, so that faulty targets can't reduce healthy capacity. Risk weighs most for a
// non-idempotent request, so suspected targets are tried with idempotent requests first.
//
// Some requests are sent to targets that no process has used for a while. Otherwise the few targets that appear healthy
// would receive every request, and nothing would be learned about targets that were avoided before.
//
// With BalancerSettings::stayShare, requests stay with targets of the own failure domain unless reasonToLeave() gives a
// reason. This applies only while the domain has an ingress proxy and at least MinDomainTargets targets that accept new
// work. Targets of domains without an ingress proxy are used as before. If no target of the own domain may be used, the
// others are: a request never fails for its domain.
//
// A target that has named a rate limit gets no request beyond this process's share of it. Thread-compatible.
class TargetBalancer
{
public:
    // The first two hooks are called on each change, from within the calls that cause it. All may be empty; without the
    // last one this process may use all of each rate limit.
    TargetBalancer(BalancerSettings settings,
                   std::uint64_t seed,
                   SuspicionHook suspicionChanged = {},
                   RestartHook restarted = {},
                   RateLimitShareHook rateLimitShareOf = {});

    // Replaces the service's targets. State of targets that stay is kept. The list may contain draining and expired
    // targets.
    void configure(const std::vector<ListedTarget> &targets);

    // Sets whether the list is up to date. A late heartbeat is evidence about its target only while it is.
    void setListFresh(bool fresh);

    // Sets the failure domains that have an ingress proxy. Until the first call there are none, and no request is bound
    // to its domain.
    void setDomainsWithProxies(std::set<FailureDomain> domains);

    // Returns whether requests are bound to the own domain at the moment, unless a reason to leave holds.
    bool staysInDomain() const;

    // Returns the demand of this process's own callers in slots, each request counted once, and the slots of the own
    // domain's targets that accept new work, weighted by the probability that they are healthy and by their speed.
    DomainLoad ownDomainLoad(Instant now) const;

    // Sets which part of the own domain's demand leaves, and the load of the domains that have reported it. A target
    // elsewhere counts as loaded as its domain, unless it is known to be more so: this process sends few requests there
    // and may not know its load. Must be called regularly while requests are bound to the domain.
    void setAgreedShare(AgreedShare share, const std::map<FailureDomain, DomainLoad> &loads, Instant now);

    // Returns the target for a request, or nothing if no target accepts new work. Deterministic, given the seed and the
    // calls so far.
    std::optional<ChosenTarget> choose(const TargetSelection &selection, Instant now);

    // Records the start of an attempt at a target that choose() returned.
    void begin(const TargetName &id, const HostRoute &route, Instant now);

    // Records the end of an attempt. `started` is the time passed to begin(). Returns the log likelihood ratio that the
    // other proxies should receive immediately, or nothing if it can wait for takeUpdates().
    std::optional<double> end(
        const TargetName &id, const HostRoute &route, Instant started, const AttemptOutcome &end, Instant now);

    // Returns when to report next to the other proxies that an attempt has no response yet, or nothing.
    std::optional<Instant> nextNoResponseReport(const TargetName &id, Instant started) const;

    // Updates the fault probability with the evidence that an attempt has no response by `now`. Returns the part of it
    // that the other proxies haven't received, as end() does.
    std::optional<double> takeNoResponseEvidence(const TargetName &id, Instant started, Instant now);

    // Applies evidence from another proxy, which observed that an attempt at a target began, had no response yet or
    // ended. `logRatio` is what end() or takeNoResponseEvidence() returned there. `usedAt` is when that proxy last sent
    // the target a request.
    void addRemoteEvidence(const TargetName &id, AttemptResult result, double logRatio, Instant usedAt, Instant now);

    // An update about a target for the other proxies.
    struct Update {
        TargetName id;
        bool responded = false; // true if it responded with success; otherwise it was only sent a request
        Instant usedAt {}; // when any proxy last sent it a request
    };

    // Returns the targets that have responded or were sent a request since the last call.
    std::vector<Update> takeUpdates();

    // Returns what this process knows of the targets that accept new work, at most of `most` targets. Of more, those
    // that are likeliest to serve a request are returned.
    std::vector<TargetKnowledge> knowledge(std::size_t most, Instant now) const;

    // Applies what another process knows of a target, unless this process has learned something of it itself within
    // the last moments.
    void learn(const TargetKnowledge &known, Instant now);

    // Returns whether the target stops as planned or has stopped, as far as it has announced that.
    bool isLeaving(const TargetName &id) const;

    // Returns whether an attempt at the target that started before `instant` has not ended.
    bool hasAttemptFromBefore(const TargetName &id, Instant instant) const;

    // Marks a target as removed, because another target id responds at its address.
    void markRemoved(const TargetName &id);

    // Applies what a target said about its rate limit. Returns whether the limit has changed. The target then gets
    // requests by the share that the hook returns.
    bool noteRateLimit(const TargetName &id, const RateLimitNotice &notice, Instant now);

    // Returns whether the other processes should be told again of a target's unchanged limit, which it has just named
    // to this process.
    bool startRateLimitRefresh(const TargetName &id, Instant now);

    // Sends the target no requests until then. Of several times the latest holds. Returns whether it rests for longer
    // than before.
    bool noteRest(const TargetName &id, Instant until);

    // Sends the target no new requests: it has said that it leaves, which the list may tell only later. Returns whether
    // that is new.
    bool noteLeaving(const TargetName &id);

    // Returns how long all targets that accept new work still rest. Returns nothing if one of them doesn't, or if there
    // are none.
    std::optional<Duration> restLeft(Instant now) const;

    // Must be called when the members of the fleet may have changed. Applies the changed shares of rate limits.
    void updateRateLimitShares(Instant now);

    // Returns the latency that `share` (0 to 1) of the route's recent successes didn't exceed, or nothing while there
    // are too few of them.
    std::optional<Duration> latencyQuantile(const HostRoute &route, double share) const;

    // Returns up to `count` random targets that accept new work.
    std::vector<AnnouncedTarget> randomTargets(std::size_t count);

    // Returns the number of targets by state, for the metrics.
    TargetCounts counts() const;

    // Returns how many idempotent requests tested unused targets, for the metrics.
    const TrialCounts &trialCounts() const;

    // Returns the number of targets that aren't draining, or `most` if there are more.
    std::size_t countAccepting(std::size_t most) const;

    // Returns the state of all targets, for the dump.
    std::vector<BalancedTarget> dump(Instant now) const;

private:
    // An attempt that has not ended.
    struct PendingAttempt {
        Instant started;
        const RouteStatistics *statistics = nullptr; // of its route
        Duration assumedMean {}; // used while there are too few responses
        double slowness = 1; // expected time at this target as a multiple of the route's mean
        std::size_t step = 0; // number of no-response reports sent to the other proxies
        double applied = 0; // log ratio from the missing response that the estimate already includes
    };
    struct Entry {
        ListedTarget listed;
        bool removed = false;
        double offset = 0; // as a share of a request's time, drawn by this process alone
        std::vector<PendingAttempt> pending;
        FaultEstimate faultProbability;
        bool suspected = false; // as last passed to the hook
        bool responded = false; // since takeUpdates()
        bool used = false; // since takeUpdates()
        double slowness = 1; // latency relative to the route's mean
        Instant slownessAt {};
        Instant lastResponse {}; // to any proxy, as far as known
        double othersLoad = 0; // requests of other callers, as reported
        Instant reportedAt {};
        Instant lastUsed {}; // by any proxy, as far as known
        TargetRateLimit rateLimit;
        Instant restsUntil {}; // as it has asked this process
        bool saidLeaving = false; // in a response to this process or another one
        bool isOwn = false; // in the failure domain of this process
        bool isElsewhere = false; // in another failure domain that has an ingress proxy
        double minLoadPerSlot = 0; // as its domain reports

        bool isLeaving() const
        {
            return saidLeaving || listed.target.draining;
        }

        bool acceptsNewWork() const
        {
            return !removed && !isLeaving();
        }
    };
    // Targets that no process has used for a while, among those that a request may use.
    struct Unused {
        std::vector<const Entry *> targets;
        std::vector<TrialCandidate> candidates; // one for each of the targets, in the same order
        double healthyUnused = 0; // expected number of healthy targets among them
        double healthy = 0; // expected number of healthy targets among all eligible ones, used or not
        std::size_t all = 0; // number of eligible targets
    };
    // The demand of one route.
    struct RouteWork {
        double seconds = 0; // that a request keeps a slot busy; 0: not known yet
        double demand = 0; // slot-seconds of recent requests, decayed until `at`
        Instant at {};
        std::uint32_t priority = 0;
        double share = 0; // of its requests that leaves
    };
    // Targets that a request may use, in its domain or elsewhere.
    struct Group {
        const Entry *best = nullptr; // by the full cost
        double bestCost = 0;
        std::optional<SpillCandidate> plainBest; // by the cost without random offsets
        double plainBestCost = 0;

        void add(const Entry &entry, double fullCost, const SpillCandidate &candidate, double plainCost);
    };
    double riskOf(const Entry &entry, Instant now) const;
    static double survivalOf(const PendingAttempt &pending, Instant now);
    static double noResponseEvidence(const PendingAttempt &pending, Instant now);
    double faultProbabilityOf(const Entry &entry, Instant now) const;
    double loadOf(const Entry &entry, Instant now) const;
    double slownessOf(const Entry &entry, Instant now) const;
    double expectedSeconds(const Entry &entry, double meanSeconds, Instant now) const;
    SpillCandidate candidateOf(const Entry &entry,
                               const TargetSelection &selection,
                               const RouteStatistics &statistics,
                               Instant now) const;
    double costOf(const Entry &entry,
                  const SpillCandidate &candidate,
                  const TargetSelection &selection,
                  const RouteStatistics &statistics,
                  Instant now) const;
    void updateDomain(Entry &entry) const;
    void recordDemand(const HostRoute &route, Instant now);
    void recordWork(const HostRoute &route, const PendingAttempt &pending, const AttemptOutcome &end);
    double ownLoadPerSlot(Instant now) const;
    std::optional<FailureDomain> drawAgreedDomain(const TargetSelection &selection);
    SpillRequest spillRequest(const TargetSelection &selection) const;
    Unused unusedFor(const TargetSelection &selection, Instant now);
    bool hasRaisedRisk(const Entry &entry, Instant now) const;
    static void preferConnected(std::vector<const Entry *> &targets, const TargetSelection &selection);
    const Entry *chooseUnused(const TargetSelection &selection, Instant now);
    const Entry *pickLeastRisky(std::vector<const Entry *> targets, Instant now);
    static bool isEligible(const Entry &entry, const TargetSelection &selection, Instant now);
    void updateRateLimitShare(Entry &entry, Instant now) const;
    ChosenTarget chosen(const Entry &entry, const HostRoute &route, Instant now) const;
    const RouteStatistics &statisticsOf(const HostRoute &route) const;
    PendingAttempt *pendingOf(const TargetName &id, Instant started);
    const PendingAttempt *pendingOf(const TargetName &id, Instant started) const;
    void updateEstimate(Entry &entry, AttemptResult result, double logRatio, Instant now);
    void reportSuspicion(Entry &entry, AttemptResult evidence);
    void recordSuccess(Entry &entry, RouteStatistics &statistics, const AttemptOutcome &end, Instant now);

    BalancerSettings m_settings;
    std::mt19937_64 m_random;
    SuspicionHook m_suspicionChanged;
    RestartHook m_restarted;
    RateLimitShareHook m_rateLimitShareOf;
    bool m_listFresh = false;
    FaultModel m_model;
    std::set<FailureDomain> m_domainsWithProxies;
    Exploration m_exploration;
    AgreedShare m_agreed;
    std::unordered_map<std::string, RouteWork> m_work; // by route
    std::unordered_map<TargetName, Entry> m_targets;
    std::unordered_set<TargetName> m_rateLimited; // targets that have a rate limit, and some that no longer do
    std::unordered_map<std::string, RouteStatistics> m_routes;
};

} // namespace mulberryplank
