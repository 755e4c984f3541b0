#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace mulberryplank
{

// A domain with fewer targets of a service that accept work is too small to choose within: a few faulty or full targets
// would leave nearly none.
inline constexpr std::size_t MinDomainTargets = 8;

// Why a request is sent to a target outside its own failure domain.
enum class SpillReason {
    NoUsableTarget, // no target of the own domain may be used
    AgreedShare, // the own domain is full, and this share of its demand leaves
    Late, // the best target of the own domain is expected to miss what one elsewhere meets
    Slower, // staying costs more expected time than the setting allows
    Riskier, // the best target of the own domain is riskier than one elsewhere by more than a bound
};

inline constexpr std::size_t SpillReasons = 5;

// Returns the reason's name in metrics and log lines.
std::string_view toString(SpillReason reason);

// The best target of a group, without random offsets. Without these, processes with the same estimates decide alike,
// and no request leaves its domain by chance.
struct SpillCandidate {
    double seconds = 0; // expected until the response, including the round trip between the domains
    double risk = 0; // probability that the attempt fails
};

// Describes a request for reasonToLeave().
struct SpillRequest {
    double targetSeconds = 0; // the route's target latency
    std::optional<double> secondsLeft; // until the request's deadline
    bool failsWithAttempt = false; // the request fails when this attempt fails
    double maxSecondsGivenUp = 0; // expected time that the request gives up at most in order to stay
};

// Returns the expected cost of a candidate in seconds: its time and its risk, weighted by the cost of a failure.
double spillCost(const SpillCandidate &candidate, const SpillRequest &request);

// Returns why a request leaves its failure domain, or nothing if it stays. `own` is the best candidate of the own
// domain and `away` the best one elsewhere by spillCost(); each is empty if there is none that may be used. A request
// without a candidate elsewhere never leaves. Never returns AgreedShare, which depends on the reports of other
// processes.
std::optional<SpillReason> reasonToLeave(const std::optional<SpillCandidate> &own,
                                         const std::optional<SpillCandidate> &away,
                                         const SpillRequest &request);

} // namespace mulberryplank
