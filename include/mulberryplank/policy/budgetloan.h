#pragma once

#include <cstdint>
#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// The asking side of loans between processes that each hold a part of one budget (WindowBudget). A process asks one
// other at a time; an answer counts once, and only while it comes soon after its question. So whatever the network
// loses, repeats or holds back, no more is spent than was given away. Not synchronized.
class BudgetLoan
{
public:
    // Returns the number of a new question, or nothing while one waits for its answer.
    std::optional<std::uint64_t> ask(Instant now);

    // Takes the answer to question `number`. Returns until when what was given may be spent, or nothing if the answer
    // doesn't count.
    std::optional<Instant> accept(std::uint64_t number, Instant now);

private:
    std::uint64_t m_lastNumber = 0; // of the last question
    bool m_awaitingResponse = false;
    Instant m_requestedAt {};
};

// How long after its question a loan may be spent. The lender counts it for as much longer.
inline constexpr Duration LoanLifetime = Seconds(1);

} // namespace mulberryplank
