// Which targets get requests so that more of them are known to be well.
#include "mulberryplank/policy/targetbalancer.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Of a service's requests, within two seconds, from which share on that fail (and from how many on) its requests are
// spread over unused targets: a fault of that size mostly hits a tenth of the targets or more.
constexpr double ManyFailures = 0.06;
constexpr double LeastFailures = 3;
constexpr Duration EndsBucket = Millis(500);
// Then this share of requests goes to targets without a request for so long, while more than so large a part of the
// targets is unused.
constexpr double SpreadShare = 0.25;
constexpr Duration UnusedAfter = Millis(1'300);
constexpr double UnusedShare = 0.2;
// The same while few requests fail, of requests that may run more than once: one that fails there is sent again.
constexpr double UnusedShareInHealth = 0.25;

} // namespace

} // namespace internal

void TargetBalancer::noteRequestEnd(bool served, Instant now)
{
    const std::int64_t bucket = now.time_since_epoch() / internal::EndsBucket;
    Ends &ends = m_ends.at(static_cast<std::size_t>(bucket) % m_ends.size());
    if (ends.bucket != bucket) {
        ends = Ends { bucket, 0, 0 };
    }
    ++(served ? ends.served : ends.failed);
}

bool TargetBalancer::manyFail(Instant now) const
{
    const std::int64_t bucket = now.time_since_epoch() / internal::EndsBucket;
    double served = 0;
    double failed = 0;
    for (const Ends &ends : m_ends) {
        if (bucket - ends.bucket < static_cast<std::int64_t>(m_ends.size())) {
            served += ends.served;
            failed += ends.failed;
        }
    }
    return failed >= internal::LeastFailures && failed > internal::ManyFailures * (served + failed);
}

// Returns a target that hasn't been used for a while if it is time to use one, else nullptr.
const TargetBalancer::Entry *TargetBalancer::chooseUnused(const ChooseTarget &wanted, Instant now)
{
    const bool many = manyFail(now);
    if ((!many && !isIdempotent(wanted.route->kind)) || !std::bernoulli_distribution(internal::SpreadShare)(m_random)) {
        return nullptr;
    }
    const double mostUnused = many ? internal::UnusedShare : internal::UnusedShareInHealth;
    std::size_t takeWork = 0;
    std::vector<const Entry *> unused;
    for (const auto &[id, entry] : m_targets) {
        if (entry.gone || entry.listed.target.draining) {
            continue;
        }
        const bool near = entry.listed.target.failureDomain == m_settings.ownDomain;
        if (wanted.route->kind == RouteKind::LargeAnswer && !near) {
            continue; // the bill would outweigh what is learnt
        }
        ++takeWork;
        if (now - entry.lastUsed > internal::UnusedAfter && mayTake(entry, wanted)) {
            unused.push_back(&entry);
        }
    }
    if (static_cast<double>(unused.size()) <= mostUnused * static_cast<double>(takeWork)) {
        return nullptr;
    }
    // Those that seem well go first, in no order that other proxies would follow as well.
    const std::size_t half = (unused.size() + 1) / 2;
    std::shuffle(unused.begin(), unused.end(), m_random);
    std::partial_sort(unused.begin(),
                      unused.begin() + static_cast<std::ptrdiff_t>(half),
                      unused.end(),
                      [this, now](const Entry *one, const Entry *other) {
                          return m_model.beliefOf(one->belief, now) < m_model.beliefOf(other->belief, now);
                      });
    return unused[std::uniform_int_distribution<std::size_t>(0, half - 1)(m_random)];
}

} // namespace mulberryplank
