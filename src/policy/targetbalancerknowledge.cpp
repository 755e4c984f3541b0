// Knowledge of targets that processes pass on to others.
#include "mulberryplank/policy/targetbalancer.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// What this process has observed itself within this time counts more than what others know.
constexpr Duration OwnKnowledgeLifetime = Millis(250);

} // namespace

} // namespace internal

std::vector<TargetKnowledge> TargetBalancer::knowledge(std::size_t most, Instant now) const
{
    struct Ranked {
        double cost = 0;
        TargetKnowledge known;
    };
    std::vector<Ranked> ranked;
    for (const auto &[id, entry] : m_targets) {
        if (!entry.acceptsNewWork() || entry.listed.keptUntil) {
            continue;
        }
        const double load = loadOf(entry, now);
        const double cost = faultProbabilityOf(entry, now) + load / std::max(1U, entry.listed.target.slots);
        ranked.push_back({ cost, { id, faultProbabilityOf(entry, now), load, entry.lastUsed } });
    }
    const std::size_t count = std::min(most, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      [](const Ranked &one, const Ranked &other) {
                          return one.cost < other.cost;
                      });
    std::vector<TargetKnowledge> known;
    known.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        known.push_back(std::move(ranked[index].known));
    }
    return known;
}

void TargetBalancer::learn(const TargetKnowledge &known, Instant now)
{
    const auto found = m_targets.find(known.id);
    if (found == m_targets.end()) {
        return;
    }
    Entry &entry = found->second;
    entry.lastUsed = std::max(entry.lastUsed, known.usedAt);
    if (now - entry.reportedAt > internal::OwnKnowledgeLifetime) {
        entry.othersLoad = std::max(known.load - static_cast<double>(entry.pending.size()), 0.0);
        entry.reportedAt = now;
    }
    if (now - entry.faultProbability.at > internal::OwnKnowledgeLifetime) {
        entry.faultProbability = { known.faultProbability, now };
        reportSuspicion(entry, AttemptResult::Cancelled);
    }
}

} // namespace mulberryplank
