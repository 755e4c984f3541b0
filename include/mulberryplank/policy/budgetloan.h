#pragma once

#include <cstdint>
#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// The borrower's side of loans between processes that each hold a share of one budget (WindowBudget). A process has at
// most one outstanding request, to one other process. A response counts once, and only if it arrives soon after its
// request. Lost, repeated or delayed messages therefore never let the fleet spend more than was lent.
// Thread-compatible.
class BudgetLoan
{
public:
    // Returns the number of a new request, or nothing while another request awaits its response.
    std::optional<std::uint64_t> startRequest(Instant now);

    // Accepts the response to request `number`. Returns the time until which the loan may be spent, or nothing if the
    // response doesn't count.
    std::optional<Instant> accept(std::uint64_t number, Instant now);

private:
    std::uint64_t m_lastNumber = 0; // of the last request
    bool m_awaitingResponse = false;
    Instant m_requestedAt {};
};

// Time after its request for which a loan may be spent. The lender counts the loan as spent for that much longer.
inline constexpr Duration LoanLifetime = Seconds(1);

} // namespace mulberryplank
