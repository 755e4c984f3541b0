#include "mulberryplank/policy/membership.h"

#include <algorithm>
#include <set>

namespace mulberryplank
{

std::optional<Endpoint> Membership::exchangeDue(Instant now)
{
    if (now >= m_nextSeed) {
        m_nextSeed = now + (isAlone() ? m_settings.joinRetryInterval : m_settings.seedRetryInterval);
        if (const auto seed = chooseUnknownSeed(now)) {
            return seed;
        }
    }
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

// To one that has just started every member is new, and the others know most of them. What goes wrong without this: a
// fleet that starts at once passes each member's name on from everybody to everybody, a dozen times, and messages that
// matter wait behind that.
void Membership::merge(const MemberUpdate &update, Instant now)
{
    const bool disseminate = !justStarted(now) || m_list.find(update.incarnation) != nullptr;
    m_list.merge(update, disseminate, now);
}

Duration Membership::minExchangeInterval(Instant now) const
{
    return justStarted(now) ? m_settings.catchUpInterval : m_settings.earlyExchangeInterval;
}

// What goes wrong without this: processes that joined through different seeds form a fleet each, and two parts that
// lost each other for longer than the dead are remembered never meet again. One would see two lists that share nobody.
// Nor is one seed requested again and again while it is busy with all who start at the same time.
std::optional<Endpoint> Membership::chooseUnknownSeed(Instant now)
{
    std::set<Endpoint> knownPeers;
    for (const Entry &entry : m_list.entries()) {
        if (entry.state.status != MemberStatus::Dead) {
            knownPeers.insert(entry.state.description->peer);
        }
    }
    std::vector<Endpoint> candidates;
    const std::size_t preferred = std::min(m_settings.preferredSeeds, m_settings.seeds.size());
    for (std::size_t index = 0; index < m_settings.seeds.size(); ++index) {
        if (index == preferred && !candidates.empty()) {
            break;
        }
        const Endpoint &seed = m_settings.seeds[index];
        const auto requested = m_seedRequestTimes.find(seed);
        const bool busy = requested != m_seedRequestTimes.end() && now - requested->second < m_settings.seedTimeout;
        if (!busy && !knownPeers.contains(seed)) {
            candidates.push_back(seed);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const Endpoint &chosen = candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
    m_seedRequestTimes[chosen] = now;
    return chosen;
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

// Returns how many members may be described to an asker now.
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
    // The own entry, which stands first, is told to everybody; of the others everybody gets a different part.
    const std::size_t others = entries.size() - 1;
    const std::size_t first = others == 0 ? 0 : std::uniform_int_distribution<std::size_t>(0, others - 1)(m_random);
    std::size_t described = 0;
    const std::size_t maxDescribed = availableDescriptions(now);
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const Entry &entry = index == 0 ? entries.front() : entries[1 + (first + index - 1) % others];
        const bool isSelf = index == 0;
        // A list that is too old would bring back members that all others have forgotten.
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
            m_list.merge(update, false, now); // everybody else knows them
        } else {
            merge(update, now);
        }
    }
    if (wasAlone) {
        m_list.queue(m_list.self(), true);
    }
    compareLiveCount(response.liveCount);
}

// Another member knows so many. Whoever knows notably fewer asks for the rest.
void Membership::compareLiveCount(std::size_t peerLiveCount)
{
    const auto own = static_cast<double>(m_list.liveCount());
    m_hasUnknownMembers =
        m_hasUnknownMembers || static_cast<double>(peerLiveCount) > 1 + own * (1 + m_settings.toleratedDifference);
}

void Membership::setSeeds(std::vector<Endpoint> seeds, std::size_t preferred)
{
    m_settings.seeds = std::move(seeds);
    m_settings.preferredSeeds = preferred;
    m_nextSeed = {};
}

} // namespace mulberryplank
