#include "mulberryplank/policy/probeplan.h"

#include <algorithm>

#include <xxhash.h>

namespace mulberryplank
{

namespace internal
{

// Two probers start their rounds apart and drift; this keeps a round that came early within the load share.
constexpr double IntervalMargin = 1.1;

} // namespace internal

ProbePlan::ProbePlan(ProbePlanSettings settings)
    : m_settings(settings)
{
}

std::vector<PeerId> ProbePlan::probers(const std::vector<PeerId> &assignedProxies,
                                       TargetId target,
                                       bool viewsDisagree) const
{
    std::vector<PeerId> ranked = assignedProxies;
    const auto score = [target](const PeerId &peer) {
        return XXH64(&target, sizeof target, peerKey(peer));
    };
    const std::size_t count = std::min<std::size_t>(viewsDisagree ? 2 : 1, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      [&score](const PeerId &left, const PeerId &right) {
                          return score(left) > score(right);
                      });
    ranked.resize(count);
    return ranked;
}

Duration ProbePlan::interval(std::size_t proberCount) const
{
    const double slotShare = m_settings.loadShare * static_cast<double>(m_settings.slotsPerTarget);
    const double perProbe = toSeconds(m_settings.cost) / slotShare;
    const auto probers = static_cast<double>(std::max<std::size_t>(proberCount, 1));
    return fromSeconds(perProbe * probers * internal::IntervalMargin);
}

} // namespace mulberryplank
