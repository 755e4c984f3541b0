#pragma once

#include <cstdint>
#include <optional>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/routetable.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// Decides how often one request is sent, and what may be said of it at the end. Guarantees, whatever order attempts end
// in: a request that may run only once is sent again only while every attempt before it is known not to have run; the
// outcome NotRun is given only then, too; no more than HostRoute::maxAttempts targets can have run the request. Not
// synchronized.
class ForwardPlan
{
public:
    // `route` must outlive the plan. `deadline` is the request's last moment.
    ForwardPlan(const HostRoute &route, Instant deadline);

    // Returns true if another attempt may be started now, beside those that run or after those that failed.
    bool mayStart(Instant now) const;

    // Returns true if no further attempt could follow the next one.
    bool nextAttemptIsLast() const;

    // An attempt begins; the request's first byte goes out to its target.
    void onStarted();
    void onSending();

    // An attempt has ended without an answer to pass on. `sent`: a byte of the request went out.
    void onFailed(AttemptResult result, bool sent);

    // Returns what can be said of the request if it is given up now.
    Outcome outcome() const;

    // Returns the error to answer with when nothing is left to try or the time is up.
    ErrorKind finalError(bool deadlinePassed) const;

    std::uint32_t started() const;

private:
    const HostRoute &m_route;
    Instant m_deadline;
    std::uint32_t m_started = 0;
    std::uint32_t m_running = 0; // attempts that have sent and haven't ended
    std::uint32_t m_mayHaveRun = 0; // attempts that have sent, have ended, and weren't refused
    AttemptResult m_lastResult = AttemptResult::Cancelled;
    AttemptResult m_lastPossiblyRunResult = AttemptResult::Cancelled;
};

} // namespace mulberryplank
