#pragma once

#include <optional>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/net/updatemessages.h"

namespace mulberryplank
{

// Holds back what can wait of the reports for other processes, so that several travel in one datagram: a report is 15
// bytes long, and what surrounds it in a datagram ten times as much, for each of the others. A failure can't wait:
// whoever learns of a sick target by itself loses a request to it. Not synchronized.
class ReportBatch
{
public:
    // `maxDelay`: how long a report waits for others at most.
    explicit ReportBatch(Duration maxDelay);

    // Takes a report, and returns those that have to be sent now: none, or all that are held as well.
    std::vector<AttemptReport> add(const AttemptReport &report, Instant now);

    // Returns when what is held has to be sent, or nothing while nothing is.
    std::optional<Instant> due() const;

    // Returns all that is held, and holds nothing any more.
    std::vector<AttemptReport> take();

private:
    Duration m_maxDelay;
    std::vector<AttemptReport> m_pending;
    Instant m_due {};
};

} // namespace mulberryplank
