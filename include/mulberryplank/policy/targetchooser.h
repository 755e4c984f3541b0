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

// What is known of a target at the moment of a choice.
struct TargetView {
    TargetIndex index = 0;
    double weight = 1; // ServiceHealth::weight()
    TargetPhase phase = TargetPhase::Healthy;
    std::uint32_t inFlight = 0; // requests of this process under way there
    std::uint32_t limit = 4; // the most requests of this process that may be under way there
    std::optional<std::uint32_t> reportedInFlight; // as the target last said, of all proxies together
    Duration reportAge {}; // since the target said so
    FailureDomain failureDomain;
    Duration expectedLatency {}; // of one request there; ServiceHealth::expectedLatency()
};

// What is known of the request that a target is chosen for.
struct ChooseRequest {
    bool idempotent = false;
    FailureDomain failureDomain; // this process's own
    std::vector<TargetIndex> excluded; // tried before, or ruled out for another reason
};

// Returns true if choose() would give the target to a request of any kind that doesn't exclude it.
bool acceptsRequests(const TargetView &target);

// Returns the target that the request should go to, or nothing when no target may take it now. Draws two candidates at
// random, by weight, and takes the one that is expected to answer first. Ejected and draining targets are never chosen;
// a target on trial only for an idempotent request while none of ours is under way there. A target at its limit is
// never chosen. Suspected targets are taken at their weight, and in full once no healthy one has room: suspicion
// changes the order, only ejection removes capacity.
std::optional<TargetIndex> choose(const std::vector<TargetView> &targets,
                                  const ChooseRequest &request,
                                  std::mt19937_64 &random);

} // namespace mulberryplank
