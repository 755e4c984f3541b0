#include "mulberryplank/policy/accountallowance.h"

#include <algorithm>
#include <numeric>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Tolerates rounding errors that make an earned request 0.9999999.
constexpr double RequestTolerance = 1e-9;

constexpr Duration MinTurnWait = Millis(50);
constexpr Duration MaxTurnWait = Seconds(60);

} // namespace

} // namespace internal

void AccountAllowance::configure(const AccountLimit &limit, double part, double initialShare, Instant now)
{
    advance(now);
    m_limit = limit;
    m_limit.burst = std::max(limit.burst, 1.0);
    m_part = part;
    if (!m_isConfigured) {
        m_isConfigured = true;
        m_earned = capacity() * initialShare;
    }
    m_earned = std::min(m_earned, capacity());
}

bool AccountAllowance::tryTake(Instant now)
{
    if (missing(now) > 0) {
        return false;
    }
    double needed = 1;
    for (Loan &loan : m_borrowed) {
        const double taken = std::min(needed, loan.amount);
        loan.amount -= taken;
        needed -= taken;
    }
    m_earned = std::max(m_earned - needed, 0.0);
    return true;
}

void AccountAllowance::giveBack(Instant now)
{
    advance(now);
    m_earned = std::min(m_earned + 1, capacity());
}

double AccountAllowance::missing(Instant now)
{
    advance(now);
    const double lacking = 1 - m_earned - borrowed();
    return lacking > internal::RequestTolerance ? lacking : 0;
}

double AccountAllowance::lend(double least, double most, Instant now)
{
    advance(now);
    const double lent = std::min(std::max(least, most), m_earned);
    if (lent <= 0 || m_earned + internal::RequestTolerance < least) {
        return 0;
    }
    m_earned -= lent;
    m_lentAmount += lent;
    m_lent.push_back({ lent, now + AllowanceLoanLifetime });
    return lent;
}

void AccountAllowance::borrow(double amount, Instant until)
{
    m_borrowed.push_back({ amount, until });
}

Duration AccountAllowance::nextTurn(Instant now)
{
    // A process without a part of its own is served by those that have one.
    const double perSecond = m_limit.perSecond * (m_part > 0 ? m_part : 1);
    const Duration interval = fromSeconds(std::min(1 / perSecond, toSeconds(internal::MaxTurnWait)));
    m_lastTurn = std::min(std::max(m_lastTurn, now) + interval, now + internal::MaxTurnWait);
    return std::max<Duration>(m_lastTurn - now, internal::MinTurnWait);
}

bool AccountAllowance::isFull(Instant now)
{
    advance(now);
    return m_lent.empty() && m_borrowed.empty() && m_earned >= capacity();
}

// Earns what the time since the last call brings. While loans are outstanding, they use a part of the burst, so the
// time is divided at their ends.
void AccountAllowance::advance(Instant now)
{
    const double perSecond = m_limit.perSecond * m_part;
    const auto earnUntil = [this, perSecond](Instant until) {
        const double elapsed = std::max(toSeconds(until - m_updated), 0.0);
        m_earned = std::min(m_earned + elapsed * perSecond, std::max(capacity(), 0.0));
        m_updated = std::max(m_updated, until);
    };
    const auto firstOutstanding = std::find_if(m_lent.begin(), m_lent.end(), [&](const Loan &loan) {
        if (loan.until > now) {
            return true;
        }
        earnUntil(loan.until);
        m_lentAmount -= loan.amount;
        return false;
    });
    m_lent.erase(m_lent.begin(), firstOutstanding);
    if (m_lent.empty()) {
        m_lentAmount = 0;
    }
    earnUntil(now);
    std::erase_if(m_borrowed, [now](const Loan &loan) {
        return loan.until <= now || loan.amount <= 0;
    });
}

double AccountAllowance::capacity() const
{
    return m_limit.burst * m_part - m_lentAmount;
}

double AccountAllowance::borrowed() const
{
    return std::accumulate(m_borrowed.begin(), m_borrowed.end(), 0.0, [](double sum, const Loan &loan) {
        return sum + loan.amount;
    });
}

} // namespace mulberryplank
