// Selects unused targets, so that most targets stay in use and their health stays known.
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

// A target counts as unused after this time without a request. The platform's operators want most healthy targets in
// use in each two seconds, which leaves four tenths of a second to find a request for it.
constexpr Duration UnusedAfter = Millis(1'600);
// The share of requests sent to unused targets, while there are any that may be used.
constexpr double SpreadShare = 0.25;
// An unused target that isn't known to be faulty is always used. The others are used when the unused share of a
// service's targets exceeds these limits, the least risky first: a target that was avoided for its failures may have
// recovered unnoticed. Requests that are lost with their attempt have the higher limit. While few targets are faulty,
// each target counts by the probability that it is healthy: most unused targets are then known to be faulty and would
// only cost requests.
constexpr double MostUnusedForIdempotent = 0.15;
constexpr double MostUnused = 0.2;
// The share of the unused targets that one is selected from. Targets that failed longest ago are the most likely to
// have recovered, and each try of one that hasn't costs a request.
constexpr double LeastRisky = 0.125;
// The maximum unused share of all targets in any case: of a few targets, more may be healthy than estimated.
constexpr double MostUnusedOfAll = 0.35;
// Up to this estimated share, faulty targets count as few.
constexpr double CalmSickShare = 0.2;
// A target is avoided only while there is evidence against it: a target that failed some seconds ago may have
// recovered, and undetected faults of other targets may leave few healthy ones.
constexpr double KnownSick = 0.6;
constexpr double KnownSickInCalm = 0.5; // while few are faulty, so that trying them costs few requests
// A target has a raised risk if its risk exceeds that of an unknown target by this factor.
constexpr double Doubtful = 1.25;

} // namespace

} // namespace internal

TargetBalancer::Unused TargetBalancer::unusedFor(const ChooseTarget &wanted, Instant now) const
{
    Unused result;
    for (const auto &[id, entry] : m_targets) {
        if (entry.gone || entry.listed.target.draining) {
            continue;
        }
        const bool near = entry.listed.target.failureDomain == m_settings.ownDomain;
        if (wanted.route->kind == RouteKind::LargeAnswer && !near) {
            continue; // the bill would outweigh the information
        }
        const double wellness = 1 - beliefOf(entry, now);
        result.well += wellness;
        ++result.all;
        // A pending attempt already tests a target with a raised risk.
        const bool isTried = !entry.pending.empty() && isDoubtful(entry, now);
        if (now - entry.lastUsed > internal::UnusedAfter && mayTake(entry, wanted) && !isTried) {
            result.targets.push_back(&entry);
            result.wellUnused += wellness;
        }
    }
    return result;
}

// Returns true if a target's risk is clearly above that of an unknown target.
bool TargetBalancer::isDoubtful(const Entry &entry, Instant now) const
{
    const double unknown = SicknessModel::failureRisk(m_model.beliefOf(SicknessBelief {}, now));
    return riskOf(entry, now) > unknown * internal::Doubtful;
}

// Keeps only targets with an open connection, if there are any.
void TargetBalancer::preferConnected(std::vector<const Entry *> &targets, const ChooseTarget &wanted)
{
    const auto isConnected = [&wanted](const Entry *entry) {
        return !wanted.connected || wanted.connected(entry->listed.target.endpoint);
    };
    if (std::any_of(targets.begin(), targets.end(), isConnected)) {
        std::erase_if(targets, std::not_fn(isConnected));
    }
}

// Returns a random one of the targets with the lowest risk, so that other proxies don't select the same one.
const TargetBalancer::Entry *TargetBalancer::fromLeastRisky(std::vector<const Entry *> targets, Instant now)
{
    if (targets.empty()) {
        return nullptr;
    }
    const auto best = static_cast<std::size_t>(std::ceil(static_cast<double>(targets.size()) * internal::LeastRisky));
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
const TargetBalancer::Entry *TargetBalancer::chooseUnused(const ChooseTarget &wanted, Instant now)
{
    if (!std::bernoulli_distribution(internal::SpreadShare)(m_random)) {
        return nullptr;
    }
    Unused unused = unusedFor(wanted, now);
    const bool isLost = wanted.isLast || !isIdempotent(wanted.route->kind);
    const double most = isLost ? internal::MostUnused : internal::MostUnusedForIdempotent;
    const bool isCalm = unused.well >= (1 - internal::CalmSickShare) * static_cast<double>(unused.all);
    const double unusedCount = static_cast<double>(unused.targets.size());
    const double all = static_cast<double>(unused.all);
    const bool fewUnused =
        isCalm ? unused.wellUnused <= most * unused.well && unusedCount <= internal::MostUnusedOfAll * all
               : unusedCount <= most * all;
    if (fewUnused) {
        const double knownSick = isCalm ? internal::KnownSickInCalm : internal::KnownSick;
        std::erase_if(unused.targets, [this, knownSick, now](const Entry *entry) {
            return beliefOf(*entry, now) > knownSick;
        });
    }
    preferConnected(unused.targets, wanted);
    return fromLeastRisky(std::move(unused.targets), now);
}

} // namespace mulberryplank
