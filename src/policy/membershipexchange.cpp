#include "mulberryplank/policy/membership.h"

#include <algorithm>

namespace mulberryplank
{

std::optional<Endpoint> Membership::exchangeDue(Instant now)
{
    if (now >= m_nextSeed) {
        m_nextSeed = now + (m_list.liveCount() <= 1 ? m_settings.joinRetry : m_settings.seedRetry);
        if (const auto seed = unmetSeed()) {
            return seed;
        }
    }
    if (m_list.liveCount() <= 1) {
        return std::nullopt;
    }
    const bool early = m_metUnknown && now >= m_nextEarlyExchange;
    if (now < m_nextExchange && !early) {
        return std::nullopt;
    }
    m_metUnknown = false;
    m_nextEarlyExchange = now + m_settings.earlyExchangeInterval;
    m_nextExchange = now + m_settings.exchangeInterval;
    return m_list.randomLive(m_random)->state.description->peer;
}

// What goes wrong without this: processes that joined through different seeds form a fleet each, and two parts that
// lost each other for longer than the dead are remembered never meet again. One would see two lists that share nobody.
std::optional<Endpoint> Membership::unmetSeed()
{
    std::vector<Endpoint> seeds = m_settings.seeds;
    for (const Entry &entry : m_list.entries()) {
        if (entry.state.status != MemberStatus::Dead) {
            std::erase(seeds, entry.state.description->peer);
        }
    }
    if (seeds.empty()) {
        return std::nullopt;
    }
    return seeds[std::uniform_int_distribution<std::size_t>(0, seeds.size() - 1)(m_random)];
}

std::vector<MemberUpdate> Membership::exchangeRequest() const
{
    std::vector<MemberUpdate> request;
    for (const Entry &entry : m_list.entries()) {
        if (entry.ownJudgement) {
            continue;
        }
        request.push_back(entry.state);
        if (&entry != &m_list.self()) {
            request.back().description = nullptr;
        }
    }
    return request;
}

std::vector<MemberUpdate> Membership::answerExchange(const std::vector<MemberUpdate> &request, Instant now)
{
    noticeGap(now);
    noticeHearing(now);
    boost::unordered_flat_map<Incarnation, const MemberUpdate *> asked;
    for (const MemberUpdate &update : request) {
        asked[update.incarnation] = &update;
        m_list.merge(update, true, now);
    }
    std::vector<MemberUpdate> answer;
    for (const Entry &entry : m_list.entries()) {
        const bool isSelf = &entry == &m_list.self();
        // A list that is too old would bring back members that all others have forgotten.
        if (entry.ownJudgement || (m_outdated && !isSelf)) {
            continue;
        }
        const auto known = asked.find(entry.state.incarnation);
        if (known == asked.end()) {
            answer.push_back(entry.state);
        } else if (known->second->counter != entry.state.counter || known->second->status != entry.state.status
                   || known->second->applied != entry.state.applied) {
            answer.push_back(entry.state);
            answer.back().description = nullptr;
        }
    }
    return answer;
}

void Membership::mergeExchange(const std::vector<MemberUpdate> &answer, Instant now)
{
    noticeGap(now);
    noticeHearing(now);
    const bool wasAlone = m_list.liveCount() <= 1;
    m_outdated = false;
    for (const MemberUpdate &update : answer) {
        // To one that has just started everything is new; to gossip it all would drown everything else.
        m_list.merge(update, !wasAlone, now);
    }
    if (wasAlone) {
        m_list.queue(m_list.self(), true);
    }
}

} // namespace mulberryplank
