#include "mulberryplank/policy/domainspill.h"

#include <algorithm>
#include <array>

namespace mulberryplank
{

namespace internal
{

namespace
{

constexpr std::array<std::string_view, SpillReasons> SpillReasonNames {
    "no-usable-target", "agreed-share", "late", "slower", "riskier",
};

// The cost of a failure, in multiples of the target latency. A request that may be sent again also spends one of the
// fleet's extra attempts, so a failure costs it more than the time until then.
constexpr double FinalFailureCost = 1.5;
constexpr double RepeatableFailureCost = 0.5;
// How much more likely an attempt may fail than one elsewhere. At these bounds, the risk costs about as much as the
// time that the default setting gives up (a quarter of the target latency).
constexpr double MaxFinalRiskGivenUp = 0.15;
constexpr double MaxRepeatableRiskGivenUp = 0.45;
// A target elsewhere counts as meeting a limit if it is expected to respond within this share of it. With a smaller
// difference, the estimates of two equal targets would send requests back and forth.
constexpr double MeetsLimitShare = 0.9;

} // namespace

} // namespace internal

std::string_view toString(SpillReason reason)
{
    return internal::SpillReasonNames.at(static_cast<std::size_t>(reason));
}

double spillCost(const SpillCandidate &candidate, const SpillRequest &request)
{
    const double failureCost = request.failsWithAttempt ? internal::FinalFailureCost : internal::RepeatableFailureCost;
    return candidate.seconds + candidate.risk * failureCost * request.targetSeconds;
}

std::optional<SpillReason> reasonToLeave(const std::optional<SpillCandidate> &own,
                                         const std::optional<SpillCandidate> &away,
                                         const SpillRequest &request)
{
    if (!away) {
        return std::nullopt;
    }
    if (!own) {
        return SpillReason::NoUsableTarget;
    }
    const double gain = spillCost(*own, request) - spillCost(*away, request);
    if (gain <= 0) {
        return std::nullopt;
    }
    const double maxRisk =
        request.failsWithAttempt ? internal::MaxFinalRiskGivenUp : internal::MaxRepeatableRiskGivenUp;
    if (own->risk - away->risk > maxRisk) {
        return SpillReason::Riskier;
    }
    const double limit = std::min(request.targetSeconds, request.secondsLeft.value_or(request.targetSeconds));
    if (own->seconds > limit && away->seconds <= limit * internal::MeetsLimitShare) {
        return SpillReason::Late;
    }
    return gain > request.maxSecondsGivenUp ? std::optional(SpillReason::Slower) : std::nullopt;
}

} // namespace mulberryplank
