#include "mulberryplank/policy/allowanceborrower.h"

#include <algorithm>

#include "mulberryplank/policy/accountallowance.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// Several times the round trip between two failure domains. The next lender is asked after that.
constexpr Duration ResponseTimeout = Millis(12);

// Lenders that had nothing have earned something again after that.
constexpr Duration RoundLifetime = Millis(50);

// The pause after a round without any loan: the account has used up its limit. It doubles with each further round.
constexpr Duration MinPause = Millis(50);
constexpr int MaxPauseDoublings = 2;

} // namespace

} // namespace internal

std::optional<AllowanceRequest> AllowanceBorrower::next(std::size_t lenders, Instant now)
{
    if (awaitsResponse(now) || now < m_nextRound || lenders == 0) {
        return std::nullopt;
    }
    if (now - m_roundStart > internal::RoundLifetime || (m_asked >= lenders && m_hasBorrowed)) {
        beginRound(now);
    }
    if (m_asked >= lenders) {
        m_nextRound = now + internal::MinPause * (1 << std::min(m_emptyRounds, internal::MaxPauseDoublings));
        ++m_emptyRounds;
        m_requestedAt.reset();
        beginRound(now);
        return std::nullopt;
    }
    AllowanceRequest request;
    request.number = ++m_lastNumber;
    request.lender = (m_firstLender + m_asked) % lenders;
    ++m_asked;
    m_requestedAt = now;
    return request;
}

bool AllowanceBorrower::awaitsResponse(Instant now) const
{
    return m_requestedAt && now - *m_requestedAt < internal::ResponseTimeout;
}

std::optional<Instant> AllowanceBorrower::accept(std::uint64_t number, double amount, Instant now)
{
    if (!awaitsResponse(now) || number != m_lastNumber) {
        return std::nullopt;
    }
    const Instant until = *m_requestedAt + AllowanceLoanLifetime;
    m_requestedAt.reset();
    if (amount <= 0) {
        return std::nullopt;
    }
    m_hasBorrowed = true;
    m_emptyRounds = 0;
    return until;
}

// The next round begins with another lender, so that they are used evenly.
void AllowanceBorrower::beginRound(Instant now)
{
    m_roundStart = now;
    m_firstLender += std::max<std::size_t>(m_asked, 1);
    m_asked = 0;
    m_hasBorrowed = false;
}

} // namespace mulberryplank
