// Which targets get requests so that more of them are known to be well.
#include "mulberryplank/policy/targetbalancer.h"

#include <algorithm>
#include <utility>

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
constexpr Duration BucketWidth = Millis(500);
// Then this share of requests goes to targets without a request for so long, while more than so large a part of the
// targets is unused.
constexpr double SpreadShare = 0.25;
constexpr Duration UnusedAfter = Millis(1'300);
constexpr double UnusedShare = 0.2;
// From this share of failures on, targets that look doubtful are tried as well, with any request: sound ones among them
// would otherwise stay unused while callers are refused or failed. The platform asks for the use of most sound targets
// from this share on. At 0.08 a process met it by chance on a day without faults, whose failures rose from 2.4%
// to 2.7%.
constexpr double TooManyFailures = 0.1;
// A request that would be lost with its attempt goes to no unused target whose risk is more than so many times that of
// one of which nothing is known: what is avoided for its failures is unused as well, and would be tried again and
// again.
constexpr double DoubtOfUnused = 1.25;
// Where more than this part of a service's targets is that doubtful, the doubt counts no more: a fault that strikes so
// many mostly strikes each of them now and then.
constexpr double MostDoubtful = 0.5;
// The same while few requests fail, of requests that may run more than once: one that fails there is sent again.
constexpr double UnusedShareInHealth = 0.25;

} // namespace

} // namespace internal

void TargetBalancer::noteRequestEnd(bool served, Instant now)
{
    ++(served ? m_ownEnds.served : m_ownEnds.failed);
    noteRemoteEnds({ served ? 1U : 0U, served ? 0U : 1U }, now);
}

TargetBalancer::Ends TargetBalancer::takeEnds()
{
    return std::exchange(m_ownEnds, Ends {});
}

void TargetBalancer::noteRemoteEnds(const Ends &ends, Instant now)
{
    const std::int64_t number = now.time_since_epoch() / internal::BucketWidth;
    EndsBucket &bucket = m_ends.at(static_cast<std::size_t>(number) % m_ends.size());
    if (bucket.number != number) {
        bucket = { number, {} };
    }
    bucket.ends.served += ends.served;
    bucket.ends.failed += ends.failed;
}

double TargetBalancer::failedShare(Instant now) const
{
    const std::int64_t number = now.time_since_epoch() / internal::BucketWidth;
    double served = 0;
    double failed = 0;
    for (const EndsBucket &bucket : m_ends) {
        if (number - bucket.number < static_cast<std::int64_t>(m_ends.size())) {
            served += bucket.ends.served;
            failed += bucket.ends.failed;
        }
    }
    return failed < internal::LeastFailures ? 0 : failed / (served + failed);
}

TargetBalancer::Unused TargetBalancer::unusedFor(const ChooseTarget &wanted, Instant now) const
{
    Unused result;
    for (const auto &[id, entry] : m_targets) {
        if (entry.gone || entry.listed.target.draining) {
            continue;
        }
        const bool near = entry.listed.target.failureDomain == m_settings.ownDomain;
        if (wanted.route->kind == RouteKind::LargeAnswer && !near) {
            continue; // the bill would outweigh what is learnt
        }
        ++result.takeWork;
        if (now - entry.lastUsed > internal::UnusedAfter && mayTake(entry, wanted)) {
            result.targets.push_back(&entry);
        }
    }
    return result;
}

// Returns those that look no worse than a target of which nothing is known. Where `many` requests fail and most of a
// service's targets look worse, evidence says little, and all of them count.
std::vector<const TargetBalancer::Entry *> TargetBalancer::trustedOf(const Unused &unused, bool many, Instant now) const
{
    const double unknown = SicknessModel::failureRisk(m_model.beliefOf(SicknessBelief {}, now));
    std::vector<const Entry *> trusted = unused.targets;
    std::erase_if(trusted, [this, now, unknown](const Entry *entry) {
        return riskOf(*entry, now) > unknown * internal::DoubtOfUnused;
    });
    const double doubtful = static_cast<double>(unused.targets.size() - trusted.size());
    const bool mostDoubtful = doubtful > internal::MostDoubtful * static_cast<double>(unused.takeWork);
    return many && mostDoubtful ? unused.targets : trusted;
}

// Returns those that a connection is at hand to, or all where there is none.
std::vector<const TargetBalancer::Entry *> TargetBalancer::connectedOf(const std::vector<const Entry *> &unused,
                                                                       const ChooseTarget &wanted)
{
    std::vector<const Entry *> connected = unused;
    std::erase_if(connected, [&wanted](const Entry *entry) {
        return wanted.connected && !wanted.connected(entry->listed.target.endpoint);
    });
    return connected.empty() ? unused : connected;
}

// Returns one of those that seem well, in no order that other proxies would follow as well.
const TargetBalancer::Entry *TargetBalancer::betterHalf(std::vector<const Entry *> unused, Instant now)
{
    if (unused.empty()) {
        return nullptr;
    }
    const std::size_t half = (unused.size() + 1) / 2;
    std::shuffle(unused.begin(), unused.end(), m_random);
    std::partial_sort(unused.begin(),
                      unused.begin() + static_cast<std::ptrdiff_t>(half),
                      unused.end(),
                      [this, now](const Entry *one, const Entry *other) {
                          return riskOf(*one, now) < riskOf(*other, now);
                      });
    return unused[std::uniform_int_distribution<std::size_t>(0, half - 1)(m_random)];
}

// Returns a target that hasn't been used for a while if it is time to use one, else nullptr.
const TargetBalancer::Entry *TargetBalancer::chooseUnused(const ChooseTarget &wanted, Instant now)
{
    if (!std::bernoulli_distribution(internal::SpreadShare)(m_random)) {
        return nullptr;
    }
    const double failed = failedShare(now);
    const Unused unused = unusedFor(wanted, now);
    const bool lost = wanted.isLast || !isIdempotent(wanted.route->kind);
    const bool many = failed > internal::ManyFailures;
    const double mostUnused = many ? internal::UnusedShare : internal::UnusedShareInHealth;
    const bool tooMany = static_cast<double>(unused.targets.size()) > mostUnused * static_cast<double>(unused.takeWork);
    if (tooMany && (!lost || failed >= internal::TooManyFailures)) {
        return betterHalf(unused.targets, now);
    }
    return betterHalf(connectedOf(trustedOf(unused, many, now), wanted), now);
}

} // namespace mulberryplank
