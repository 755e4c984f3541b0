#pragma once

#include <cstdint>
#include <optional>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/routetable.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// Decides how often one request is sent, and which outcome is reported. Guarantees, for every order in which attempts
// end: A non-idempotent request is sent again only if no earlier attempt can have run. The outcome NotRun is
// reported only if no attempt can have run. At most HostRoute::maxAttempts targets can have run the request.
// Thread-compatible.
class ForwardPlan
{
public:
    // `route` must outlive the plan. No attempt starts at or after `deadline`.
    ForwardPlan(const HostRoute &route, Instant deadline);

    // Returns true if another attempt may be started now, in parallel with running ones or after failed ones.
    bool mayStart(Instant now) const;

    // Returns true if no further attempt could follow the next one.
    bool nextAttemptIsLast() const;

    // Report that an attempt starts, and that the first byte of the request is about to be sent to its target.
    void onStarted();
    void onSending();

    // Reports that an attempt has ended without a response to forward. `sent`: a byte of the request was sent.
    void onFailed(AttemptResult result, bool sent);

    // Returns the outcome of the request if no further attempt is made.
    Outcome outcome() const;

    // Returns the error to respond with when no further attempt is possible or the deadline has passed.
    ErrorKind finalError(bool deadlinePassed) const;

    std::uint32_t started() const;

private:
    const HostRoute &m_route;
    Instant m_deadline;
    std::uint32_t m_started = 0;
    std::uint32_t m_running = 0; // attempts that have sent bytes and haven't ended
    std::uint32_t m_mayHaveRun = 0; // attempts that have sent bytes, have ended, and weren't shed
    AttemptResult m_lastResult = AttemptResult::Cancelled;
    AttemptResult m_lastPossiblyRunResult = AttemptResult::Cancelled;
};

} // namespace mulberryplank
