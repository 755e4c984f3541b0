// Which targets get requests so that most of them stay in use and known.
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

// A target without a request for so long is unused. The platform's operators want most sound targets in use in each two
// seconds, so that four tenths of a second are left to find a request for it.
constexpr Duration UnusedAfter = Millis(1'600);
// This share of requests goes to unused targets, while there are any to be used.
constexpr double SpreadShare = 0.25;
// An unused target that isn't known to be sick is used whatever else there is. Others are used as soon as more than
// so large a part of a service's targets is unused, the least doubtful first: what is avoided for its failures may be
// well again and nobody would know. Requests that are lost with their attempt come second. While few targets are sick
// each counts by the likelihood that it is well: most of what is unused then is known to be sick, and would only cost
// requests.
constexpr double MostUnusedForIdempotent = 0.15;
constexpr double MostUnused = 0.2;
// The part of the unused targets that one is chosen from. What failed longest ago is likeliest to be well again, and
// each try of one that isn't costs a request.
constexpr double LeastRisky = 0.125;
// More than so large a part of all targets isn't unused in any case: of a few targets more may be well than believed.
constexpr double MostUnusedOfAll = 0.35;
// Up to so large a part of sick targets, as far as is believed, counts as few.
constexpr double CalmSickShare = 0.2;
// A target is left alone only while something is known against it: what failed some seconds ago may have recovered, and
// others under a disturbance that nobody notices may leave few that are sound.
constexpr double KnownSick = 0.6;
constexpr double KnownSickInCalm = 0.5; // while few are sick, so that trying them costs few requests
// A target whose risk is more than so many times that of one of which nothing is known is doubtful.
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
        if (wanted.route->kind == RouteKind::LargeResponse && !near) {
            continue; // the bill would outweigh what is learnt
        }
        const double wellness = 1 - beliefOf(entry, now);
        result.well += wellness;
        ++result.all;
        // A doubtful target with an attempt under way is being tried already.
        const bool isTried = !entry.pending.empty() && isDoubtful(entry, now);
        if (now - entry.lastUsed > internal::UnusedAfter && mayTake(entry, wanted) && !isTried) {
            result.targets.push_back(&entry);
            result.wellUnused += wellness;
        }
    }
    return result;
}

// Returns whether a target looks worse than one of which nothing is known.
bool TargetBalancer::isDoubtful(const Entry &entry, Instant now) const
{
    const double unknown = SicknessModel::failureRisk(m_model.beliefOf(SicknessBelief {}, now));
    return riskOf(entry, now) > unknown * internal::Doubtful;
}

// Leaves only targets that a connection is at hand to, where there are any.
void TargetBalancer::preferConnected(std::vector<const Entry *> &targets, const ChooseTarget &wanted)
{
    const auto isConnected = [&wanted](const Entry *entry) {
        return !wanted.connected || wanted.connected(entry->listed.target.endpoint);
    };
    if (std::any_of(targets.begin(), targets.end(), isConnected)) {
        std::erase_if(targets, std::not_fn(isConnected));
    }
}

// Returns one of those that seem best, in no order that other proxies would follow as well.
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

// Returns a target that hasn't been used for a while if it is time to use one, else nullptr.
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
