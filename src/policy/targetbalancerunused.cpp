// Selects unused targets, so that a large share of the targets stays in use and their health stays known.
#include "mulberryplank/policy/targetbalancer.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace mulberryplank
{

namespace internal
{

namespace
{

// The share of requests sent to unused targets, while there are any that may be used.
constexpr double SpreadShare = 0.25;
// An unused target that isn't known to be faulty is always used. The others are used when the unused share of a
// service's targets exceeds these limits, the least risky first: a target that was avoided for its failures may have
// recovered unnoticed. Requests that are lost with their attempt have the higher limit. While few targets are faulty,
// each target counts by the probability that it is healthy: unused targets are then mainly ones known to be faulty,
// which would only cost requests.
// While many targets are faulty, first attempts of idempotent requests leave none unused (Exploration): the healthy
// ones may be so few that they are all among the unused.
constexpr double MaxUnusedForIdempotent = 0.15;
constexpr double MaxUnused = 0.2;
// The share of the unused targets that one is selected from. Targets that failed longest ago are the likeliest to have
// recovered, and each try of one that hasn't costs a request.
constexpr double LeastRiskyShare = 0.125;
// The maximum unused share of all targets in any case: of a few targets, more may be healthy than estimated.
constexpr double MaxUnusedOfAll = 0.35;
// Up to this estimated share, faulty targets count as few.
constexpr double FewFaultyShare = 0.2;
// A target is avoided only while there is evidence against it: a target that failed some seconds ago may have
// recovered, and undetected faults of other targets may leave few healthy ones.
constexpr double KnownFaulty = 0.6;
constexpr double KnownFaultyWhenFew = 0.5; // while few are faulty, so that trying them costs few requests
// A target has a raised risk if its risk exceeds that of an unknown target by this factor.
constexpr double RaisedRiskFactor = 1.25;

} // namespace

} // namespace internal

TargetBalancer::Unused TargetBalancer::unusedFor(const TargetSelection &selection, Instant now)
{
    const bool idempotent = isIdempotent(selection.route->kind);
    double load = 0;
    double slots = 0;
    Unused result;
    for (const auto &[id, entry] : m_targets) {
        if (!entry.acceptsNewWork()) {
            continue;
        }
        const bool sameDomain = entry.listed.target.failureDomain == m_settings.ownDomain;
        if (selection.route->kind == RouteKind::LargeResponse && !sameDomain) {
            continue; // the bill would outweigh the information
        }
        const double faultProbability = faultProbabilityOf(entry, now);
        const double healthyProbability = 1 - faultProbability;
        load += loadOf(entry, now);
        slots += healthyProbability * std::max(1U, entry.listed.target.slots);
        result.healthy += healthyProbability;
        ++result.all;
        // A pending attempt already tests a target with a raised risk.
        const bool isTried = !entry.pending.empty() && hasRaisedRisk(entry, now);
        const bool hasResponded = entry.lastResponse != Instant {} && entry.lastResponse >= entry.lastUsed;
        const TrialCandidate candidate { result.targets.size(), faultProbability, hasResponded, now - entry.lastUsed };
        const Duration unusedAfter =
            idempotent ? m_exploration.dueAfter(candidate) : m_exploration.overdueAfter(candidate, now);
        if (candidate.unusedFor > unusedAfter && isEligible(entry, selection, now) && !isTried) {
            result.targets.push_back(&entry);
            result.candidates.push_back(candidate);
            result.healthyUnused += healthyProbability;
        }
    }
    m_exploration.setService(result.all, slots > 0 ? load / slots : 0);
    return result;
}

// Returns true if a target's risk is clearly above that of an unknown target.
bool TargetBalancer::hasRaisedRisk(const Entry &entry, Instant now) const
{
    const double unknown = FaultModel::failureRisk(m_model.faultProbabilityOf(FaultEstimate {}, now));
    return riskOf(entry, now) > unknown * internal::RaisedRiskFactor;
}

// Keeps only targets with an open connection, if there are any.
void TargetBalancer::preferConnected(std::vector<const Entry *> &targets, const TargetSelection &selection)
{
    const auto isConnected = [&selection](const Entry *entry) {
        return !selection.connected || selection.connected(entry->listed.target.endpoint);
    };
    if (std::any_of(targets.begin(), targets.end(), isConnected)) {
        std::erase_if(targets, std::not_fn(isConnected));
    }
}

// Returns a random one of the targets with the lowest risk, so that other proxies don't select the same one.
const TargetBalancer::Entry *TargetBalancer::pickLeastRisky(std::vector<const Entry *> targets, Instant now)
{
    if (targets.empty()) {
        return nullptr;
    }
    const auto best =
        static_cast<std::size_t>(std::ceil(static_cast<double>(targets.size()) * internal::LeastRiskyShare));
    std::shuffle(targets.begin(), targets.end(), m_random);
    std::partial_sort(targets.begin(),
                      targets.begin() + static_cast<std::ptrdiff_t>(best),
                      targets.end(),
                      [this, now](const Entry *one, const Entry *other) {
                          return riskOf(*one, now) < riskOf(*other, now);
                      });
    return targets[std::uniform_int_distribution<std::size_t>(0, best - 1)(m_random)];
}

// Returns an unused target if the request should use one, else nullptr.
const TargetBalancer::Entry *TargetBalancer::chooseUnused(const TargetSelection &selection, Instant now)
{
    const bool idempotent = isIdempotent(selection.route->kind);
    const bool isFirst = selection.excluded.empty();
    const bool mayTest = idempotent && isFirst && !selection.isLast;
    m_exploration.recordAttempt(idempotent, isFirst, mayTest, now);
    if (idempotent && !mayTest) {
        return nullptr; // it would be lost with the target; first attempts test unused targets
    }
    const bool spread = std::bernoulli_distribution(internal::SpreadShare)(m_random);
    if (!idempotent && !spread) {
        return nullptr;
    }
    Unused unused = unusedFor(selection, now);
    const bool fewFaulty = unused.healthy >= (1 - internal::FewFaultyShare) * static_cast<double>(unused.all);
    // Unused targets are left to the proxies of their own domain, if there are any. Whether any are tried at all
    // depends on the whole service: a domain whose targets are all faulty would otherwise try them with a tenth of its
    // requests.
    const auto isLeftToOthers = [stays = staysInDomain()](const Entry *entry) {
        return stays && entry->isElsewhere;
    };
    if (idempotent && !fewFaulty) {
        std::erase_if(unused.candidates, [&unused, &isLeftToOthers](const TrialCandidate &candidate) {
            return isLeftToOthers(unused.targets[candidate.index]);
        });
        const std::optional<std::size_t> trial = m_exploration.choose(unused.candidates, m_random);
        return trial ? unused.targets[*trial] : nullptr;
    }
    if (!spread) {
        return nullptr;
    }
    const double maxUnused = idempotent ? internal::MaxUnusedForIdempotent : internal::MaxUnused;
    const double unusedCount = static_cast<double>(unused.targets.size());
    const double all = static_cast<double>(unused.all);
    const bool fewUnused =
        fewFaulty ? unused.healthyUnused <= maxUnused * unused.healthy && unusedCount <= internal::MaxUnusedOfAll * all
                  : unusedCount <= maxUnused * all;
    if (fewUnused) {
        const double knownFaulty = fewFaulty ? internal::KnownFaultyWhenFew : internal::KnownFaulty;
        std::erase_if(unused.targets, [this, knownFaulty, now](const Entry *entry) {
            return faultProbabilityOf(*entry, now) > knownFaulty;
        });
    }
    std::erase_if(unused.targets, isLeftToOthers);
    preferConnected(unused.targets, selection);
    return pickLeastRisky(std::move(unused.targets), now);
}

const TrialCounts &TargetBalancer::trialCounts() const
{
    return m_exploration.counts();
}

} // namespace mulberryplank
