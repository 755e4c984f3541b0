#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "mulberryplank/policy/faultmodel.h"
#include "mulberryplank/policy/routestatistics.h"
#include "mulberryplank/policy/routetable.h"
#include "mulberryplank/policy/targetdirectory.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// What a target says of its load with an answer.
struct ReportedLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

// The weights of a choice. All are times: the balancer takes the target with the least expected cost of a request.
struct BalancerSettings {
    FailureDomain ownDomain;
    Duration heartbeat = Millis(1'500); // of the targets
    // What the bytes of a request and its answer cost when they cross failure domains, in bytes for each millisecond of
    // delay that the caller would rather bear. Transfers between domains are billed; at 300 bytes a millisecond a large
    // answer stays in its domain unless that costs it some hundred milliseconds, and a small one goes where it is
    // served first.
    double bytesPerMilli = 300;
    Duration crossDomainRoundTrip = Millis(3); // the network's part of the same
};

// What is known of a request that a target is chosen for.
struct TargetSelection {
    const HostRoute *route = nullptr; // must not be nullptr
    std::vector<TargetName> excluded; // tried before
    std::function<bool(const Endpoint &)> connected; // whether a connection to the target is at hand
    bool isLast = false; // no attempt can follow this one
    std::size_t requestBytes = 0; // of its body
};

// How an attempt ended.
struct AttemptOutcome {
    AttemptResult result = AttemptResult::Success;
    Duration latency {}; // until the answer's last byte, or until it failed
    std::size_t responseBytes = 0;
    std::optional<ReportedLoad> load;
};

// A chosen target.
struct ChosenTarget {
    TargetName id;
    Endpoint endpoint;
    double risk = 0; // estimated probability that an attempt fails there
    double load = 0; // estimated requests there, of all callers
    double expectedMillis = 0; // until the answer
    std::optional<Duration> loadAge {}; // of the target's last report; nothing: it has told none
    bool wasUnused = false; // chosen for that, so the other proxies should know at once that it is in use
};

// A target has come under suspicion of being sick, or out of it.
struct SuspicionChange {
    TargetName id;
    FailureDomain failureDomain;
    bool suspected = false;
    double faultProbability = 0; // the likelihood that it is sick
    AttemptResult evidence = AttemptResult::Success; // the attempt's end that decided it, here or at another proxy
};

using SuspicionHook = std::function<void(const SuspicionChange &)>;

// Told where a target has started again: connections to its earlier start are void.
using RestartHook = std::function<void(const Endpoint &)>;

// One target, for the dump of state.
struct BalancedTarget {
    AnnouncedTarget target;
    std::uint32_t inFlight = 0;
    double risk = 0;
    double load = 0;
    double slowness = 1;
};

// How many targets of a service there are, by what is thought of them.
struct TargetCounts {
    std::uint32_t trusted = 0;
    std::uint32_t suspected = 0;
    std::uint32_t draining = 0;
};

// Chooses targets of one service by expected cost: the time until the answer, given the target's speed and load; plus
// the risk that the attempt fails, weighed by what a failure costs a request of this kind; plus the bill for bytes that
// cross failure domains.
//
// The risk comes from a FaultModel: where many targets turn sick, requests stay with those that have responded
// lately, and where none do, old evidence costs nothing. No target is ever ruled out: when the others are
// full, suspects are used, so that sick targets can't take healthy capacity with them. A request that may run only once
// pays most for risk, so suspects are tried with idempotent requests first.
//
// Some requests go to targets that nobody has used for a while: else the few that seem healthy would get everything,
// and what was avoided once would stay unknown. Not synchronized.
class TargetBalancer
{
public:
    // The hooks are told of each change, from within the calls that bring it about; they may be empty.
    TargetBalancer(BalancerSettings settings,
                   std::uint64_t seed,
                   SuspicionHook suspicionChanged = {},
                   RestartHook restarted = {});

    // Takes over the service's targets; what is known of those that stay is kept. Draining and lapsed ones may be among
    // them.
    void configure(const std::vector<ListedTarget> &targets);

    // Says whether the list is up to date: only then does a late heartbeat say something about its target.
    void setListFresh(bool fresh);

    // Returns the target for a request, or nothing when there is none that takes new work.
    std::optional<ChosenTarget> choose(const TargetSelection &selection, Instant now);

    // An attempt begins at a target that choose() gave.
    void begin(const TargetName &id, const HostRoute &route, Instant now);

    // An attempt has ended. `started` is the time given to begin(). Returns what the other proxies should
    // updateEstimate of it at once, as the logarithm of what the odds of sickness are multiplied by, or nothing if it
    // can wait for takeUpdates().
    std::optional<double> end(
        const TargetName &id, const HostRoute &route, Instant started, const AttemptOutcome &end, Instant now);

    // Returns when the other proxies should be told next that an attempt has no answer yet, or nothing.
    std::optional<Instant> nextNoResponseReport(const TargetName &id, Instant started) const;

    // Takes what an attempt's silence says by now into the faultProbability, and returns what is new in it for the
    // other proxies, as end() does.
    std::optional<double> takeNoResponseEvidence(const TargetName &id, Instant started, Instant now);

    // Another proxy has seen an attempt begin, stay without an answer or end at a target, and applied from it what
    // end() or takeNoResponseEvidence() returned. `usedAt` is when it sent the target a request last.
    void addRemoteEvidence(const TargetName &id, AttemptResult result, double logRatio, Instant usedAt, Instant now);

    // What the other proxies should know of a target.
    struct Update {
        TargetName id;
        bool responded = false; // with success; otherwise it has only been sent something
        Instant usedAt {}; // when it was sent something last, by any proxy
    };

    // Returns the targets that have responded or been sent something since the last call.
    std::vector<Update> takeUpdates();

    // The target's address answers under another id, so the target has removed.
    void markRemoved(const TargetName &id);

    // Returns the latency that `share` (0 to 1) of the route's recent successes didn't exceed, or nothing before there
    // are enough of them.
    std::optional<Duration> latencyQuantile(const HostRoute &route, double share) const;

    // Returns the targets' numbers for the metrics.
    TargetCounts counts() const;

    // Returns the targets for the dump of state.
    std::vector<BalancedTarget> dump(Instant now) const;

private:
    // An attempt under way.
    struct PendingAttempt {
        Instant started;
        const RouteStatistics *statistics = nullptr; // of its route
        Duration assumedMean {}; // while these have too few answers
        double slowness = 1; // how much longer than the route's requests it is expected to take at this target
        std::size_t step = 0; // of the silence that the others have been told
        double applied = 0; // from its silence, as a log ratio, and in the faultProbability already
    };
    struct Entry {
        ListedTarget listed;
        bool removed = false;
        double offset = 0; // in parts of a request's time, drawn by this process alone
        std::vector<PendingAttempt> pending;
        FaultEstimate faultProbability;
        bool suspected = false; // as told to the hook
        bool responded = false; // since takeUpdates()
        bool used = false; // likewise
        double slowness = 1; // latency relative to the route's mean
        Instant slownessAt {};
        Instant lastResponse {}; // to any proxy, as far as this one knows
        double othersLoad = 0; // requests of other callers, as reported
        Instant reportedAt {};
        Instant lastUsed {}; // by any proxy, as far as this one knows
    };
    // Targets that nobody has used for a while, of those that a request may go to.
    struct Unused {
        std::vector<const Entry *> targets;
        double healthyUnused = 0; // how many of them are healthy, as far as is known
        double healthy = 0; // the same of all that there are to go to, used or not
        std::size_t all = 0; // how many of these there are
    };
    double riskOf(const Entry &entry, Instant now) const;
    static double survivalOf(const PendingAttempt &pending, Instant now);
    static double noResponseEvidence(const PendingAttempt &pending, Instant now);
    double faultProbabilityOf(const Entry &entry, Instant now) const;
    double loadOf(const Entry &entry, Instant now) const;
    double slownessOf(const Entry &entry, Instant now) const;
    double expectedSeconds(const Entry &entry, double meanSeconds, Instant now) const;
    double costOf(const Entry &entry,
                  const TargetSelection &selection,
                  const RouteStatistics &statistics,
                  Instant now) const;
    Unused unusedFor(const TargetSelection &selection, Instant now) const;
    bool hasRaisedRisk(const Entry &entry, Instant now) const;
    static void preferConnected(std::vector<const Entry *> &targets, const TargetSelection &selection);
    const Entry *chooseUnused(const TargetSelection &selection, Instant now);
    const Entry *pickLeastRisky(std::vector<const Entry *> targets, Instant now);
    bool isEligible(const Entry &entry, const TargetSelection &selection) const;
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
    bool m_listFresh = false;
    FaultModel m_model;
    std::unordered_map<TargetName, Entry> m_targets;
    std::unordered_map<std::string, RouteStatistics> m_routes;
};

} // namespace mulberryplank
