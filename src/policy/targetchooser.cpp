#include "mulberryplank/policy/targetchooser.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

// How often a target on trial is preferred for an idempotent request.
constexpr double TrialShare = 0.05;
// Both ways between failure domains.
constexpr Duration CrossDomain = Millis { 3 };
// A reported load has lost about two thirds of its worth after this time.
constexpr double ReportLifetimeSeconds = 0.5;
// A target's own latency counts within these bounds of the candidates' average. Unbounded, a few slow answers would
// keep a target from ever being chosen, and nothing would show whether it is sick or was unlucky.
constexpr double LatencyBound = 1.25;

bool isExcluded(const ChooseRequest &request, TargetIndex index)
{
    return std::find(request.excluded.begin(), request.excluded.end(), index) != request.excluded.end();
}

// Returns how many requests are under way at the target as far as it is known: ours, and the others' as reported. A
// report below what we have there ourselves is wrong, by age or by intent, and isn't believed.
double occupancy(const TargetView &target)
{
    const auto own = static_cast<double>(target.inFlight);
    if (!target.reportedInFlight || *target.reportedInFlight < target.inFlight) {
        return own;
    }
    const double others = static_cast<double>(*target.reportedInFlight) - own;
    return own + others * std::exp(-toSeconds(target.reportAge) / ReportLifetimeSeconds);
}

double expectedTime(const TargetView &target, const ChooseRequest &request, double average)
{
    const double latency =
        std::clamp(toSeconds(target.expectedLatency), average / LatencyBound, average * LatencyBound);
    const bool sameDomain = target.failureDomain == request.failureDomain;
    return latency * (1 + occupancy(target)) + (sameDomain ? 0 : toSeconds(CrossDomain));
}

bool hasRoom(const TargetView &target)
{
    const bool warm = target.phase != TargetPhase::SlowStart;
    const double share = warm ? 1 : target.weight;
    const double limit = std::ceil(static_cast<double>(target.limit) * share);
    return static_cast<double>(target.inFlight) < limit;
}

using Candidates = std::vector<const TargetView *>;

// Takes one candidate out at random, by weight. There must be one.
const TargetView *draw(Candidates &candidates, std::mt19937_64 &random)
{
    double sum = 0;
    for (const TargetView *candidate : candidates) {
        sum += candidate->weight;
    }
    double left = std::uniform_real_distribution<double>(0, sum)(random);
    std::size_t index = 0;
    while (index + 1 < candidates.size() && left >= candidates[index]->weight) {
        left -= candidates[index]->weight;
        ++index;
    }
    const TargetView *result = candidates[index];
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
    return result;
}

std::optional<TargetIndex> chooseTrial(const std::vector<TargetView> &targets,
                                       const ChooseRequest &request,
                                       bool onlyTrial,
                                       std::mt19937_64 &random)
{
    if (!request.idempotent) {
        return std::nullopt;
    }
    for (const TargetView &target : targets) {
        const bool free = target.phase == TargetPhase::Trial && target.inFlight == 0 && target.limit > 0;
        if (!free || isExcluded(request, target.index)) {
            continue;
        }
        if (onlyTrial || std::uniform_real_distribution<double>(0, 1)(random) < TrialShare) {
            return target.index;
        }
    }
    return std::nullopt;
}

double averageLatency(const Candidates &candidates)
{
    double sum = 0;
    for (const TargetView *candidate : candidates) {
        sum += toSeconds(candidate->expectedLatency);
    }
    return sum / static_cast<double>(candidates.size());
}

} // namespace internal

bool acceptsRequests(const TargetView &target)
{
    switch (target.phase) {
    case TargetPhase::Healthy:
    case TargetPhase::Suspected:
    case TargetPhase::SlowStart:
        return target.weight > 0 && internal::hasRoom(target);
    case TargetPhase::Ejected:
    case TargetPhase::Trial:
    case TargetPhase::Draining:
        break;
    }
    return false;
}

std::optional<TargetIndex> choose(const std::vector<TargetView> &targets,
                                  const ChooseRequest &request,
                                  std::mt19937_64 &random)
{
    internal::Candidates candidates;
    for (const TargetView &target : targets) {
        if (acceptsRequests(target) && !internal::isExcluded(request, target.index)) {
            candidates.push_back(&target);
        }
    }
    const auto trial = internal::chooseTrial(targets, request, candidates.empty(), random);
    if (trial || candidates.empty()) {
        return trial;
    }
    const double average = internal::averageLatency(candidates);
    const TargetView *first = internal::draw(candidates, random);
    if (candidates.empty()) {
        return first->index;
    }
    const TargetView *second = internal::draw(candidates, random);
    const double firstTime = internal::expectedTime(*first, request, average);
    const double secondTime = internal::expectedTime(*second, request, average);
    return firstTime <= secondTime ? first->index : second->index;
}

} // namespace mulberryplank
