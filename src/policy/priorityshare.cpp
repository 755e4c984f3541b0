#include "mulberryplank/policy/priorityshare.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

namespace
{

// A demand of one request in this time is worth a whole request in reserve, since a fraction of one serves nobody.
constexpr double WholeRequestSeconds = 1;

// Bounds what a priority that was passed over can claim at once.
constexpr double MaxCredit = 4;

// Claims grow faster than the least share, since a part of what is lent to other processes isn't used.
constexpr double CreditFactor = 1.25;

} // namespace

} // namespace internal

PriorityShare::PriorityShare(PriorityShareSettings settings)
    : m_settings(settings)
{
}

void PriorityShare::setAvailable(double perSecond)
{
    m_perSecond = perSecond;
}

void PriorityShare::recordDemand(std::uint32_t priority, double amount, Instant now)
{
    advance(now);
    Use &use = m_uses[priority];
    use.demand += amount;
    use.lastDemand = now;
}

void PriorityShare::recordGrant(std::uint32_t priority, double amount, Instant now)
{
    advance(now);
    const auto found = m_uses.find(priority);
    if (found != m_uses.end()) {
        found->second.credit = std::max(found->second.credit - amount, 0.0);
    }
}

void PriorityShare::recordShortage(Instant now)
{
    advance(now);
    m_shortUntil = now + m_settings.shortageLifetime;
}

bool PriorityShare::isShort(Instant now) const
{
    return now < m_shortUntil;
}

bool PriorityShare::isDivided(Instant now) const
{
    return isShort(now) && m_uses.size() > 1;
}

double PriorityShare::share(std::uint32_t priority, Instant now)
{
    advance(now);
    double left = m_perSecond;
    for (const auto &[other, use] : m_uses) {
        left -= leastShare(use);
    }
    for (const auto &[other, use] : m_uses) {
        const double least = leastShare(use);
        const double granted = least + std::clamp(demandPerSecond(use) - least, 0.0, std::max(left, 0.0));
        if (other == priority) {
            return granted;
        }
        left -= granted - least;
    }
    return std::max(left, 0.0);
}

double PriorityShare::reserve(std::uint32_t priority, Instant now)
{
    advance(now);
    if (!isDivided(now)) {
        return 0;
    }
    const auto own = m_uses.find(priority);
    if (own != m_uses.end() && own->second.credit >= 1) {
        return 0;
    }
    double reserve = 0;
    for (const auto &[other, use] : m_uses) {
        if (other < priority) {
            const double perSecond = share(other, now);
            reserve += std::max(perSecond * toSeconds(m_settings.horizon),
                                std::min(perSecond * internal::WholeRequestSeconds, 1.0));
        } else if (other > priority) {
            reserve += std::floor(use.credit);
        }
    }
    return reserve;
}

void PriorityShare::advance(Instant now)
{
    const double elapsed = m_updated == Instant {} ? 0 : std::max(toSeconds(now - m_updated), 0.0);
    const double shortFor = std::clamp(toSeconds(m_shortUntil - m_updated), 0.0, elapsed);
    const double kept = std::exp(-elapsed / toSeconds(m_settings.memory));
    for (auto &[priority, use] : m_uses) {
        use.credit = std::min(use.credit + internal::CreditFactor * leastShare(use) * shortFor, internal::MaxCredit);
        use.demand *= kept;
    }
    std::erase_if(m_uses, [this, now](const auto &entry) {
        return now - entry.second.lastDemand > 2 * m_settings.memory;
    });
    m_updated = std::max(m_updated, now);
}

double PriorityShare::leastShare(const Use &use) const
{
    // More than ten priorities divide the resource evenly.
    const double part = std::min(MinShare, 1 / static_cast<double>(m_uses.size()));
    return std::min(demandPerSecond(use), part * m_perSecond);
}

double PriorityShare::demandPerSecond(const Use &use) const
{
    return use.demand / toSeconds(m_settings.memory);
}

} // namespace mulberryplank
