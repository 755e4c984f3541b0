// Which targets get requests so that maxUnused of them stay in use and known.
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

// A target without a request for so long is unused. The platform's operators want maxUnused sound targets in use in
// each two seconds, so that four tenths of a second are left to find a request for it.
constexpr Duration UnusedAfter = Millis(1'600);
// This share of requests goes to unused targets, while there are any to be used.
constexpr double SpreadShare = 0.25;
// An unused target that isn't known to be sick is used whatever else there is. Others are used as soon as more than
// so large a part of a service's targets is unused, the least doubtful first: what is avoided for its failures may be
// healthy again and nobody would know. Requests that are lost with their attempt come second. While few targets are
// sick each counts by the likelihood that it is healthy: maxUnused of what is unused then is known to be sick, and
// would only cost requests.
constexpr double MaxUnusedForIdempotent = 0.15;
constexpr double MaxUnused = 0.2;
// The part of the unused targets that one is chosen from. What failed longest ago is likeliest to be healthy again, and
// each try of one that isn't costs a request.
constexpr double LeastRiskyShare = 0.125;
// More than so large a part of all targets isn't unused in any case: of a few targets more may be healthy than
// believed.
constexpr double MaxUnusedOfAll = 0.35;
// Up to so large a part of sick targets, as far as is believed, counts as few.
constexpr double FewFaultyShare = 0.2;
// A target is left alone only while something is known against it: what failed some seconds ago may have recovered, and
// others under a disturbance that nobody notices may leave few that are sound.
constexpr double KnownFaulty = 0.6;
constexpr double KnownFaultyWhenFew = 0.5; // while few are sick, so that trying them costs few requests
// A target whose risk is more than so many times that of one of which nothing is known is doubtful.
constexpr double RaisedRiskFactor = 1.25;

} // namespace

} // namespace internal

TargetBalancer::Unused TargetBalancer::unusedFor(const TargetSelection &selection, Instant now) const
{
    Unused result;
    for (const auto &[id, entry] : m_targets) {
        if (entry.removed || entry.listed.target.draining) {
            continue;
        }
        const bool sameDomain = entry.listed.target.failureDomain == m_settings.ownDomain;
        if (selection.route->kind == RouteKind::LargeResponse && !sameDomain) {
            continue; // the bill would outweigh what is applied
        }
        const double healthyProbability = 1 - faultProbabilityOf(entry, now);
        result.healthy += healthyProbability;
        ++result.all;
        // A doubtful target with an attempt under way is being tried already.
        const bool isTried = !entry.pending.empty() && hasRaisedRisk(entry, now);
        if (now - entry.lastUsed > internal::UnusedAfter && isEligible(entry, selection) && !isTried) {
            result.targets.push_back(&entry);
            result.healthyUnused += healthyProbability;
        }
    }
    return result;
}

// Returns whether a target looks worse than one of which nothing is known.
bool TargetBalancer::hasRaisedRisk(const Entry &entry, Instant now) const
{
    const double unknown = FaultModel::failureRisk(m_model.faultProbabilityOf(FaultEstimate {}, now));
    return riskOf(entry, now) > unknown * internal::RaisedRiskFactor;
}

// Leaves only targets that a connection is at hand to, where there are any.
void TargetBalancer::preferConnected(std::vector<const Entry *> &targets, const TargetSelection &selection)
{
    const auto isConnected = [&selection](const Entry *entry) {
        return !selection.connected || selection.connected(entry->listed.target.endpoint);
    };
    if (std::any_of(targets.begin(), targets.end(), isConnected)) {
        std::erase_if(targets, std::not_fn(isConnected));
    }
}

// Returns one of those that seem best, in no order that other proxies would follow as healthy.
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

// Returns a target that hasn't been used for a while if it is time to use one, else nullptr.
const TargetBalancer::Entry *TargetBalancer::chooseUnused(const TargetSelection &selection, Instant now)
{
    if (!std::bernoulli_distribution(internal::SpreadShare)(m_random)) {
        return nullptr;
    }
    Unused unused = unusedFor(selection, now);
    const bool failsWithAttempt = selection.isLast || !isIdempotent(selection.route->kind);
    const double maxUnused = failsWithAttempt ? internal::MaxUnused : internal::MaxUnusedForIdempotent;
    const bool fewFaulty = unused.healthy >= (1 - internal::FewFaultyShare) * static_cast<double>(unused.all);
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
    preferConnected(unused.targets, selection);
    return pickLeastRisky(std::move(unused.targets), now);
}

} // namespace mulberryplank
