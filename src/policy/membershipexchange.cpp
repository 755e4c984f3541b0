#include "mulberryplank/policy/membership.h"

#include <algorithm>

namespace mulberryplank
{

std::optional<Endpoint> Membership::seedQueryDue(Instant now)
{
    if (now < m_nextSeed) {
        return std::nullopt;
    }
    const std::optional<Endpoint> seed = chooseUnknownSeed(now);
    m_nextSeed = now + seedInterval(seed);
    if (seed) {
        m_seedRequestTimes[*seed] = now;
    }
    return seed;
}

std::optional<Endpoint> Membership::exchangeDue(Instant now)
{
    if (isAlone()) {
        return std::nullopt;
    }
    const bool early = m_hasUnknownMembers && now >= m_nextEarlyExchange;
    if (now < m_nextExchange && !early) {
        return std::nullopt;
    }
    m_hasUnknownMembers = false;
    m_nextEarlyExchange = now + minExchangeInterval(now);
    m_nextExchange = now + m_settings.exchangeInterval;
    return m_list.randomLive(m_random)->state.description->peer;
}

bool Membership::justStarted(Instant now) const
{
    return now - m_startedAt < m_settings.catchUpDuration;
}

// All members are new to a process that has just started, while the other members have most of them already. Without
// this, all processes of a fleet that starts at once would disseminate each member's name a dozen times, and delay
// important messages.
void Membership::merge(const MemberUpdate &update, Instant now)
{
    const bool disseminate = !justStarted(now) || m_list.find(update.incarnation) != nullptr;
    m_list.merge(update, disseminate, now);
}

Duration Membership::minExchangeInterval(Instant now) const
{
    return justStarted(now) ? m_settings.catchUpInterval : m_settings.earlyExchangeInterval;
}

// Returns the delay after a query of `seed`. Each seed is queried once soon after the start: only then does this
// process know whether other processes have formed a fleet without it.
Duration Membership::seedInterval(const std::optional<Endpoint> &seed) const
{
    const bool isFirstQuery = seed && !m_seedRequestTimes.contains(*seed);
    return isAlone() || isFirstQuery ? m_settings.joinRetryInterval : m_settings.seedRetryInterval;
}

bool Membership::isLivePeer(const Endpoint &peer) const
{
    const std::vector<Entry> &entries = m_list.entries();
    return std::any_of(entries.begin(), entries.end(), [&peer](const Entry &entry) {
        return entry.state.status != MemberStatus::Dead && entry.state.description->peer == peer;
    });
}

// Without this, processes that joined through different seeds would form separate fleets, and partitions that were
// disconnected for longer than dead members are remembered would never merge. Their lists would have no member in
// common. The seed whose last query is longest ago comes first, so that one that never responds doesn't keep this
// process from the others. A seed isn't queried repeatedly while it is busy with many processes that start at the same
// time.
std::optional<Endpoint> Membership::chooseUnknownSeed(Instant now)
{
    using Rank = std::pair<Instant, bool>; // the last query, and whether the seed isn't preferred
    std::vector<Endpoint> candidates;
    Rank lowest;
    for (std::size_t index = 0; index < m_settings.seeds.size(); ++index) {
        const Endpoint &seed = m_settings.seeds[index];
        const auto requested = m_seedRequestTimes.find(seed);
        const bool wasQueried = requested != m_seedRequestTimes.end();
        if (isLivePeer(seed) || (wasQueried && now - requested->second < m_settings.seedTimeout)) {
            continue;
        }
        const Rank rank { wasQueried ? requested->second : Instant {}, index >= m_settings.preferredSeeds };
        if (candidates.empty() || rank < lowest) {
            candidates.clear();
            lowest = rank;
        }
        if (rank == lowest) {
            candidates.push_back(seed);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
}

bool Membership::isUnresponsiveSeed(const Endpoint &seed, Instant now) const
{
    const auto requested = m_seedRequestTimes.find(seed);
    return requested != m_seedRequestTimes.end() && now - requested->second >= m_settings.seedTimeout
           && !isLivePeer(seed);
}

std::vector<MemberUpdate> Membership::exchangeRequest() const
{
    std::vector<MemberUpdate> request;
    for (const Entry &entry : m_list.entries()) {
        if (entry.isolatedSuspicion) {
            continue;
        }
        request.push_back(entry.state);
        if (&entry != &m_list.self()) {
            request.back().description = nullptr;
        }
    }
    return request;
}

// Returns how many members may be described to a requesting process now.
std::size_t Membership::availableDescriptions(Instant now)
{
    const double since = m_availableDescriptionsAt == Instant {} ? 0 : toSeconds(now - m_availableDescriptionsAt);
    m_availableDescriptionsAt = now;
    m_availableDescriptions = std::min(m_availableDescriptions + since * m_settings.descriptionsPerSecond,
                                       static_cast<double>(m_settings.descriptionBurst));
    return std::max(static_cast<std::size_t>(std::max(m_availableDescriptions, 0.0)), m_settings.minDescriptions);
}

MemberExchange Membership::respondToExchange(const std::vector<MemberUpdate> &request, Instant now)
{
    handleTickGap(now);
    onMessageReceived(now);
    boost::unordered_flat_map<Incarnation, const MemberUpdate *> requested;
    for (const MemberUpdate &update : request) {
        requested[update.incarnation] = &update;
        merge(update, now);
    }
    MemberExchange response;
    response.liveCount = static_cast<std::uint32_t>(m_list.liveCount());
    const std::vector<Entry> &entries = m_list.entries();
    // The own entry, which is the first one, is sent to all processes. Each process gets a different part of the
    // others.
    const std::size_t others = entries.size() - 1;
    const std::size_t first = others == 0 ? 0 : std::uniform_int_distribution<std::size_t>(0, others - 1)(m_random);
    std::size_t described = 0;
    const std::size_t maxDescribed = availableDescriptions(now);
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const Entry &entry = index == 0 ? entries.front() : entries[1 + (first + index - 1) % others];
        const bool isSelf = index == 0;
        // An outdated list would bring back members that all other processes have forgotten.
        if (entry.isolatedSuspicion || (m_outdated && !isSelf)) {
            continue;
        }
        const auto listed = requested.find(entry.state.incarnation);
        if (listed == requested.end()) {
            if (described < maxDescribed) {
                ++described;
                response.updates.push_back(entry.state);
            }
        } else if (listed->second->counter != entry.state.counter || listed->second->status != entry.state.status
                   || listed->second->applied != entry.state.applied) {
            response.updates.push_back(entry.state);
            response.updates.back().description = nullptr;
        }
    }
    m_availableDescriptions -= static_cast<double>(described);
    return response;
}

void Membership::mergeExchange(const MemberExchange &response, Instant now)
{
    handleTickGap(now);
    onMessageReceived(now);
    const bool wasAlone = isAlone();
    m_outdated = false;
    for (const MemberUpdate &update : response.updates) {
        if (wasAlone) {
            m_list.merge(update, false, now); // all other members have them already
        } else {
            merge(update, now);
        }
    }
    if (wasAlone) {
        m_list.queue(m_list.self(), true);
    }
    compareLiveCount(response.liveCount);
}

// Schedules an exchange if another member reports notably more live members than this process has.
void Membership::compareLiveCount(std::size_t peerLiveCount)
{
    const auto own = static_cast<double>(m_list.liveCount());
    m_hasUnknownMembers =
        m_hasUnknownMembers || static_cast<double>(peerLiveCount) > own * (1 + m_settings.toleratedDifference);
}

void Membership::setSeeds(std::vector<Endpoint> seeds, std::size_t preferred)
{
    m_settings.seeds = std::move(seeds);
    m_settings.preferredSeeds = preferred;
    m_nextSeed = {};
    std::erase_if(m_seedRequestTimes, [this](const auto &requested) {
        return std::find(m_settings.seeds.begin(), m_settings.seeds.end(), requested.first) == m_settings.seeds.end();
    });
}

} // namespace mulberryplank
