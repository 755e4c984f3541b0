#pragma once

#include <optional>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/net/updatemessages.h"

namespace mulberryplank
{

// Delays reports for other processes that are not urgent, so that several are sent in one datagram. A report has 15
// bytes and the overhead of its datagram is ten times as large, for each receiver. Failures are not delayed: a process
// that doesn't receive the report loses a request of its own to the faulty target. Thread-compatible.
class ReportBatch
{
public:
    // `maxDelay`: the maximum time that a report waits for other reports.
    explicit ReportBatch(Duration maxDelay);

    // Adds a report. Returns the reports that must be sent now: none, or all pending ones including this one.
    std::vector<AttemptReport> add(const AttemptReport &report, Instant now);

    // Returns when the pending reports must be sent, or nothing if none are pending.
    std::optional<Instant> due() const;

    // Returns all pending reports and clears them.
    std::vector<AttemptReport> take();

private:
    Duration m_maxDelay;
    std::vector<AttemptReport> m_pending;
    Instant m_due {};
};

} // namespace mulberryplank
