#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Whether this process reaches the targets of one service over new connections of its own. One target that can't be
// reached may have stopped; when several can't and none can, the path between this process and all of them is lost.
// Responses over older connections are no evidence: these may live on while new ones are refused. Thread-compatible.
class DirectPath
{
public:
    // Number of unreachable targets from which on the path counts as lost, if the service has as many.
    static constexpr std::size_t MinUnreachable = 3;

    // Commands.

    // Records that a connection to `target` was refused, not established in time or closed without any response.
    // `targetCount` is the number of the service's targets. Returns true if the path is lost from now on.
    bool noteFailure(const TargetName &target, std::size_t targetCount, Instant now);

    // Records that a target has accepted a connection that was opened at `openedAt` or later. Returns true if the path
    // was lost and no longer is.
    bool noteSuccess(Instant openedAt);

    // Records that a target has responded, over any connection.
    void noteResponse(Instant now);

    // Starts a check by new connections to some targets if the last one is long enough ago. Returns whether to check.
    bool startCheck(Instant now);

    // Queries.

    bool isLost() const;

    // Returns whether any target has responded since `instant`.
    bool hasRespondedSince(Instant instant) const;

private:
    struct Failure {
        TargetName target;
        Instant at;
    };

    std::vector<Failure> m_failures; // the newest of each target that no success has followed
    std::optional<Instant> m_lostAt;
    std::optional<Instant> m_lastResponse;
    std::optional<Instant> m_lastCheck;
};

} // namespace mulberryplank
