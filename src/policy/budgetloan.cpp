#include "mulberryplank/policy/budgetloan.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// An answer takes a round trip between failure domains, a few milliseconds at most; after this time the question or its
// answer was lost.
constexpr Duration AnswerTime = Millis(50);

} // namespace

} // namespace internal

std::optional<std::uint64_t> BudgetLoan::ask(Instant now)
{
    if (m_waits && now < m_askedAt + internal::AnswerTime) {
        return std::nullopt;
    }
    m_waits = true;
    m_askedAt = now;
    return ++m_number;
}

std::optional<Instant> BudgetLoan::accept(std::uint64_t number, Instant now)
{
    const Instant until = m_askedAt + LoanLifetime;
    if (!m_waits || number != m_number || now >= until) {
        return std::nullopt;
    }
    m_waits = false;
    return until;
}

} // namespace mulberryplank
