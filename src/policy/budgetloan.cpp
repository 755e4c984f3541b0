#include "mulberryplank/policy/budgetloan.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// A response takes one round trip between failure domains, a few milliseconds at most. After this time the request or
// its response is considered lost.
constexpr Duration ResponseTimeout = Millis(50);

} // namespace

} // namespace internal

std::optional<std::uint64_t> BudgetLoan::startRequest(Instant now)
{
    if (m_awaitingResponse && now < m_requestedAt + internal::ResponseTimeout) {
        return std::nullopt;
    }
    m_awaitingResponse = true;
    m_requestedAt = now;
    return ++m_lastNumber;
}

std::optional<Instant> BudgetLoan::accept(std::uint64_t number, Instant now)
{
    const Instant until = m_requestedAt + LoanLifetime;
    if (!m_awaitingResponse || number != m_lastNumber || now >= until) {
        return std::nullopt;
    }
    m_awaitingResponse = false;
    return until;
}

} // namespace mulberryplank
