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

constexpr Duration CountingStep = Millis(50);
constexpr Duration MinTurnWait = Millis(50);
constexpr Duration MaxTurnWait = Seconds(60);

} // namespace

} // namespace internal

AccountAllowance::AccountAllowance(AllowanceSettings settings)
    : m_settings(settings)
{
}

void AccountAllowance::configure(
    const AccountLimit &limit, double part, bool isNew, double initialRequests, Instant now)
{
    advance(now);
    m_limit = limit;
    m_limit.burst = std::max(limit.burst, 1.0);
    if (part > m_part && isNew) {
        m_fastFrom = now + m_settings.window;
    }
    m_part = part;
    if (!m_isConfigured) {
        m_isConfigured = true;
        m_tokens = isNew ? initialRequests : bucketSize();
    }
    m_tokens = std::min(m_tokens, bucketSize());
    m_usedSum = std::accumulate(m_used.begin(), m_used.end(), 0.0, [this](double sum, const Used &used) {
        return sum + counted(used);
    });
}

bool AccountAllowance::tryTake(Instant now, const AllowanceClaim &claim)
{
    if (missing(now, claim) > 0) {
        return false;
    }
    double needed = 1;
    for (Amount &loan : m_borrowed) {
        if (loan.priority < claim.priority) {
            continue;
        }
        const double taken = std::min(needed, loan.requests);
        loan.requests -= taken;
        needed -= taken;
    }
    use(needed, now);
    return true;
}

void AccountAllowance::giveBack(Instant now)
{
    advance(now);
    m_tokens = std::min(m_tokens + 1, bucketSize());
    if (!m_used.empty()) {
        Used &last = m_used.back();
        m_usedSum -= counted(last);
        last.requests -= std::min(1.0, last.requests);
        m_usedSum += counted(last);
    }
}

double AccountAllowance::missing(Instant now, const AllowanceClaim &claim)
{
    advance(now);
    const double lacking = 1 - std::max(available() - claim.reserve, 0.0) - borrowed(claim.priority);
    return lacking > internal::RequestTolerance ? lacking : 0;
}

double AccountAllowance::lend(double least, double most, Instant now, double reserve)
{
    advance(now);
    const double lent = std::min(std::max(least, most), std::max(available() - reserve, 0.0));
    if (lent <= 0 || lent + internal::RequestTolerance < least) {
        return 0;
    }
    use(lent, now);
    return lent;
}

void AccountAllowance::borrow(double amount, Instant until, std::uint32_t priority)
{
    m_borrowed.push_back({ amount, until, priority });
}

double AccountAllowance::perSecond() const
{
    return allowed() * m_part / toSeconds(m_settings.window);
}

double AccountAllowance::mostAtOnce() const
{
    return bucketSize();
}

Duration AccountAllowance::nextTurn(Instant now)
{
    // A process without a part of its own is served by those that have one.
    const double perSecond = m_limit.perSecond * (m_part > 0 ? m_part : 1);
    const Duration interval = fromSeconds(std::min(1 / perSecond, toSeconds(internal::MaxTurnWait)));
    m_lastTurn = std::min(std::max(m_lastTurn, now) + interval, now + internal::MaxTurnWait);
    return std::max<Duration>(m_lastTurn - now, internal::MinTurnWait);
}

bool AccountAllowance::isUnused(Instant now)
{
    advance(now);
    return m_used.empty() && m_borrowed.empty() && m_tokens >= bucketSize();
}

void AccountAllowance::advance(Instant now)
{
    const double windowSeconds = toSeconds(m_settings.window);
    const auto fillUntil = [this](Instant until, double perSecond) {
        const double elapsed = std::max(toSeconds(until - m_updated), 0.0);
        m_tokens = std::min(m_tokens + elapsed * perSecond * m_part, bucketSize());
        m_updated = std::max(m_updated, until);
    };
    fillUntil(std::min(now, m_fastFrom), m_limit.perSecond);
    fillUntil(now, m_limit.perSecond + m_limit.burst / windowSeconds);
    while (!m_used.empty() && m_used.front().until <= now) {
        m_usedSum -= counted(m_used.front());
        m_used.pop_front();
    }
    if (m_used.empty()) {
        m_usedSum = 0;
    }
    std::erase_if(m_borrowed, [now](const Amount &loan) {
        return loan.until <= now || loan.requests <= 0;
    });
}

void AccountAllowance::use(double amount, Instant now)
{
    m_tokens = std::max(m_tokens - amount, 0.0);
    m_usedSum += amount;
    // Rounding up to the next step bounds the number of entries.
    const Instant::duration sinceEpoch = (now + m_settings.window + AllowanceLoanLifetime).time_since_epoch();
    const Instant until { (sinceEpoch / internal::CountingStep + 1) * internal::CountingStep };
    if (!m_used.empty() && m_used.back().until == until && m_used.back().allowed == allowed()) {
        m_used.back().requests += amount;
    } else {
        m_used.push_back({ amount, until, allowed() });
    }
}

double AccountAllowance::allowed() const
{
    return m_limit.perSecond * toSeconds(m_settings.window) + m_limit.burst;
}

// Returns how much of the present limit is used up by what was used under its own one.
double AccountAllowance::counted(const Used &used) const
{
    return used.requests * std::min(allowed() / used.allowed, 1.0);
}

double AccountAllowance::bucketSize() const
{
    return m_limit.atOnce() * m_part;
}

double AccountAllowance::available() const
{
    return std::max(std::min(allowed() * m_part - m_usedSum, m_tokens), 0.0);
}

double AccountAllowance::borrowed(std::uint32_t priority) const
{
    return std::accumulate(m_borrowed.begin(), m_borrowed.end(), 0.0, [priority](double sum, const Amount &loan) {
        return loan.priority < priority ? sum : sum + loan.requests;
    });
}

} // namespace mulberryplank
