#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Whether this process reaches the targets of one service over new connections of its own. One target that can't be
// reached may have stopped; when several can't and none can, the path between this process and all of them is lost. It
// is restored once as many in a row can be reached: a single one may be the exception.
// Responses over older connections are no evidence: these may live on while new ones are refused. Thread-compatible.
class DirectPath
{
public:
    // Number of targets in a row that have to be unreachable for the path to count as lost, and reachable for it to
    // count as restored, if the service has as many.
    static constexpr std::size_t DecisiveTargets = 3;

    // Commands.

    // Records that a connection to `target` was refused, not established in time or closed without any response.
    // `targetCount` is the number of the service's targets. Returns true if the path is lost from now on.
    bool noteFailure(const TargetName &target, std::size_t targetCount, Instant now);

    // Records that a connection to `target` that was opened at `openedAt` was accepted. Returns true if the path was
    // lost and no longer is.
    bool noteSuccess(const TargetName &target, std::size_t targetCount, Instant openedAt);

    // Records that a target has responded, over any connection.
    void noteResponse(Instant now);

    // Starts a check by new connections to some targets if the last one is long enough ago. Returns whether to check.
    bool startCheck(Instant now);

    // Queries.

    bool isLost() const;

    // Returns whether the path isn't lost or was lost before `instant`.
    bool isNewerThanLoss(Instant instant) const;

    // Returns whether any target has responded since `instant`.
    bool hasRespondedSince(Instant instant) const;

    // Returns whether older connections carry responses although new ones fail, or nothing has failed.
    bool openConnectionsRespond() const;

private:
    struct Failure {
        TargetName target;
        Instant at;
    };

    std::vector<Failure> m_failures; // the newest of each target that no success has followed
    std::vector<TargetName> m_reached; // distinct targets since the last failure, while the path is lost
    std::optional<Instant> m_lostAt;
    std::optional<Instant> m_lastResponse;
    std::optional<Instant> m_lastCheck;
};

} // namespace mulberryplank
