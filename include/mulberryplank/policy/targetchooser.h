#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// The state of a target when a target is selected.
struct TargetView {
    TargetIndex index = 0;
    double weight = 1; // ServiceHealth::weight()
    TargetPhase phase = TargetPhase::Healthy;
    std::uint32_t inFlight = 0; // requests of this process in progress at the target
    std::uint32_t limit = 4; // maximum number of requests of this process in progress at the target
    std::optional<std::uint32_t> reportedInFlight; // as last reported by the target, for all proxies together
    Duration reportAge {}; // since that report
    FailureDomain failureDomain;
    Duration expectedLatency {}; // of one request at the target; ServiceHealth::expectedLatency()
};

// Describes the request that a target is selected for.
struct ChooseRequest {
    bool idempotent = false;
    FailureDomain failureDomain; // of this process
    std::vector<TargetIndex> excluded; // already tried, or excluded for another reason
};

// Returns true if choose() may select the target for any kind of request that doesn't exclude it.
bool acceptsRequests(const TargetView &target);

// Returns the target for the request, or nothing if no target can accept it now. Draws two candidates at random by
// weight and selects the one with the shorter expected time. Ejected and draining targets are never selected. A target
// on trial is selected only for an idempotent request, and only while no request of this process is in progress there.
// A target at its limit is never selected. Suspected targets are selected according to their weight, and in full when
// no healthy target has capacity left: suspicion changes the order, and only ejection removes capacity.
std::optional<TargetIndex> choose(const std::vector<TargetView> &targets,
                                  const ChooseRequest &request,
                                  std::mt19937_64 &random);

} // namespace mulberryplank
