#include "mulberryplank/policy/memberlist.h"

namespace mulberryplank
{

namespace
{

constexpr int MaxRandomAttempts = 16;

} // namespace

Member memberOf(const MemberUpdate &state)
{
    const MemberDescription &about = *state.description;
    return { about.vm,     state.incarnation, about.peer,  about.caller,  about.failureDomain,
             state.status, state.applied,     state.ready, about.capacity };
}

MemberList::Entry &MemberList::self()
{
    return m_entries.front();
}

const MemberList::Entry &MemberList::self() const
{
    return m_entries.front();
}

MemberList::Entry *MemberList::find(Incarnation incarnation)
{
    const auto found = m_index.find(incarnation);
    return found == m_index.end() ? nullptr : &m_entries[found->second];
}

const std::vector<MemberList::Entry> &MemberList::entries() const
{
    return m_entries;
}

const std::vector<Member> &MemberList::members() const
{
    if (m_membersStale) {
        m_members.clear();
        for (const Entry &entry : m_entries) {
            m_members.push_back(memberOf(entry.state));
        }
        m_membersStale = false;
    }
    return m_members;
}

std::size_t MemberList::liveCount() const
{
    return m_entries.size() - m_deadCount;
}

bool MemberList::hasUpdates() const
{
    return !m_queue.empty();
}

const std::vector<Incarnation> &MemberList::suspects() const
{
    return m_suspects;
}

MemberList::Entry *MemberList::randomLive(std::mt19937_64 &random)
{
    return liveCount() > 1 ? randomByLiveness(random, false) : nullptr;
}

MemberList::Entry *MemberList::randomDead(std::mt19937_64 &random)
{
    return m_deadCount > 0 ? randomByLiveness(random, true) : nullptr;
}

MemberList::Entry *MemberList::randomByLiveness(std::mt19937_64 &random, bool dead)
{
    std::uniform_int_distribution<std::size_t> pick(1, m_entries.size() - 1);
    std::size_t index = pick(random);
    for (int i = 0; i < MaxRandomAttempts; ++i) {
        if ((m_entries[index].state.status == MemberStatus::Dead) == dead) {
            return &m_entries[index];
        }
        index = pick(random);
    }
    // Few are of the kind wanted: go on from here one by one.
    while ((m_entries[index].state.status == MemberStatus::Dead) != dead) {
        index = index + 1 < m_entries.size() ? index + 1 : 1;
    }
    return &m_entries[index];
}

} // namespace mulberryplank
