#include "mulberryplank/policy/memberlist.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace mulberryplank
{

namespace
{

// How strong a status is against another one with the same counter: an accusation stands until its subject raises the
// counter.
int precedence(MemberStatus status)
{
    constexpr std::array<int, 4> Precedences { 0 /* Alive */, 2 /* Suspect */, 1 /* Leaving */, 3 /* Dead */ };
    return Precedences.at(static_cast<std::size_t>(status));
}

bool isNewer(const MemberUpdate &update, const MemberUpdate &known)
{
    if (update.counter != known.counter) {
        return update.counter > known.counter;
    }
    return precedence(update.status) > precedence(known.status);
}

bool isSuspectOrDead(MemberStatus status)
{
    return status == MemberStatus::Suspect || status == MemberStatus::Dead;
}

constexpr std::size_t MaxEvents = 10'000; // kept for a reader that doesn't come

} // namespace

std::size_t encodedSizeBound(const MemberUpdate &update)
{
    constexpr std::size_t Fields = 24;
    if (!update.description) {
        return Fields;
    }
    constexpr std::size_t PortsLengthsAndCapacity = 12;
    const MemberDescription &about = *update.description;
    return Fields + PortsLengthsAndCapacity + about.vm.value().size() + about.peer.host.size()
           + about.caller.host.size() + about.failureDomain.value().size();
}

MemberList::MemberList(const Member &self, std::uint32_t transmitFactor, Duration forgetDeadAfter)
    : m_transmitFactor(transmitFactor)
    , m_forgetDeadAfter(forgetDeadAfter)
{
    Entry entry;
    entry.state.incarnation = self.incarnation;
    entry.state.status = MemberStatus::Alive;
    entry.state.counter = 1;
    entry.state.applied = self.applied;
    entry.state.ready = self.ready;
    entry.state.description = std::make_shared<const MemberDescription>(
        MemberDescription { self.vm, self.peer, self.caller, self.failureDomain, self.capacity });
    m_entries.push_back(std::move(entry));
    m_index[self.incarnation] = 0;
    queue(m_entries.front(), true);
}

bool MemberList::merge(const MemberUpdate &update, bool disseminate, Instant now)
{
    if (update.incarnation == self().state.incarnation) {
        return mergeSelf(update);
    }
    Entry *entry = find(update.incarnation);
    if (!entry) {
        return insert(update, disseminate, now);
    }
    if (update.applied > entry->state.applied) {
        entry->state.applied = update.applied;
        m_membersStale = true;
    }
    if (!isNewer(update, entry->state)) {
        return false;
    }
    const MemberStatus before = entry->state.status;
    entry->state.counter = update.counter;
    entry->state.ready = update.ready;
    entry->leaving = entry->leaving || update.status == MemberStatus::Leaving;
    entry->isolatedSuspicion = false;
    entry->suspectedByThisProcess = false;
    setStatus(*entry, update.status);
    if (update.status == MemberStatus::Dead) {
        entry->deadline = now + m_forgetDeadAfter;
        addEvent(entry->leaving ? Event::MemberLeft : Event::MemberDead, *entry, "told by others");
    } else if (before == MemberStatus::Dead) {
        addEvent(Event::MemberJoined, *entry, "back");
    }
    if (disseminate) {
        queue(*entry, before == MemberStatus::Dead);
    }
    return true;
}

// An accusation against this process: refute it, under the same incarnation, by a counter that overrides it.
bool MemberList::mergeSelf(const MemberUpdate &update)
{
    Entry &own = self();
    if (!isSuspectOrDead(update.status) || update.counter < own.state.counter) {
        return false;
    }
    own.state.counter = update.counter + 1;
    queue(own, update.status == MemberStatus::Dead);
    addEvent(Event::MemberSuspected, own, "this process; refuted");
    return true;
}

// An accusation without a description is of somebody unknown or forgotten: of no use. Neither is news of the dead.
bool MemberList::insert(const MemberUpdate &update, bool disseminate, Instant now)
{
    if (!update.description || update.status == MemberStatus::Dead) {
        return false;
    }
    m_index[update.incarnation] = static_cast<std::uint32_t>(m_entries.size());
    Entry &entry = m_entries.emplace_back();
    entry.state = update;
    entry.state.status = MemberStatus::Alive;
    entry.leaving = update.status == MemberStatus::Leaving;
    entry.lastReceived = now;
    setStatus(entry, update.status);
    m_joined.push_back(update.incarnation);
    addEvent(Event::MemberJoined, entry, "");
    if (disseminate) {
        queue(entry, true);
    }
    return true;
}

void MemberList::setStatus(Entry &entry, MemberStatus status)
{
    const MemberStatus before = entry.state.status;
    entry.state.status = status;
    m_membersStale = true;
    if (status == before) {
        return;
    }
    if (before == MemberStatus::Suspect) {
        std::erase(m_suspects, entry.state.incarnation);
    }
    if (status == MemberStatus::Suspect) {
        m_suspects.push_back(entry.state.incarnation);
        entry.deadline = Instant::max(); // until the protocol sets it
    }
    if (before == MemberStatus::Dead) {
        m_joined.push_back(entry.state.incarnation);
        --m_deadCount;
    }
    if (status == MemberStatus::Dead) {
        ++m_deadCount;
    }
}

void MemberList::suspect(Entry &entry, Instant deadline, bool isolatedSuspicion)
{
    entry.isolatedSuspicion = isolatedSuspicion;
    setStatus(entry, MemberStatus::Suspect);
    entry.deadline = deadline;
    if (isolatedSuspicion) {
        m_isolatedSuspicions.push_back(entry.state.incarnation);
    } else {
        queue(entry, false);
    }
    addEvent(Event::MemberSuspected, entry, isolatedSuspicion ? "this process hears nobody" : "");
}

void MemberList::expireSuspicions(Instant now)
{
    const std::vector<Incarnation> suspects = m_suspects;
    for (const Incarnation incarnation : suspects) {
        Entry *entry = find(incarnation);
        if (entry->deadline <= now) {
            declareDead(*entry, now);
        }
    }
}

void MemberList::declareDead(Entry &entry, Instant now)
{
    setStatus(entry, MemberStatus::Dead);
    entry.deadline = now + m_forgetDeadAfter;
    addEvent(entry.leaving ? Event::MemberLeft : Event::MemberDead, entry, "");
    if (!entry.isolatedSuspicion) {
        queue(entry, false);
    }
}

// What goes wrong without this: a process that heard nothing for a while takes everyone else for dead, and says so to
// all as soon as it hears again. One would see the whole fleet suspected at once, by one member.
void MemberList::withdrawIsolatedSuspicions()
{
    const std::vector<Incarnation> suspected = std::move(m_isolatedSuspicions);
    m_isolatedSuspicions.clear();
    for (const Incarnation incarnation : suspected) {
        Entry *entry = find(incarnation);
        if (entry && entry->isolatedSuspicion) {
            entry->isolatedSuspicion = false;
            setStatus(*entry, entry->leaving ? MemberStatus::Leaving : MemberStatus::Alive);
            addEvent(Event::MemberJoined, *entry, "suspicion withdrawn: this process had heard nobody");
        }
    }
}

void MemberList::forgetDead(Instant now)
{
    for (std::size_t index = m_entries.size() - 1; index > 0; --index) {
        const Entry &entry = m_entries[index];
        if (entry.state.status == MemberStatus::Dead && entry.deadline <= now) {
            remove(index);
        }
    }
}

void MemberList::remove(std::size_t index)
{
    --m_deadCount;
    m_index.erase(m_entries[index].state.incarnation);
    if (index + 1 != m_entries.size()) {
        m_entries[index] = std::move(m_entries.back());
        m_index[m_entries[index].state.incarnation] = static_cast<std::uint32_t>(index);
    }
    m_entries.pop_back();
    m_membersStale = true;
}

void MemberList::postponeSuspicions(Duration by)
{
    for (const Incarnation incarnation : m_suspects) {
        Entry *entry = find(incarnation);
        if (entry->deadline != Instant::max()) {
            entry->deadline += by;
        }
    }
}

void MemberList::incrementOwnCounter()
{
    ++self().state.counter;
    queue(self(), true);
}

void MemberList::setOwnState(MemberStatus status, Offset applied, bool ready)
{
    Entry &own = self();
    m_membersStale = m_membersStale || applied != own.state.applied;
    own.state.applied = std::max(own.state.applied, applied);
    if (own.state.status == status && own.state.ready == ready) {
        return;
    }
    own.state.status = status;
    own.state.ready = ready;
    m_membersStale = true;
    incrementOwnCounter();
}

void MemberList::queue(Entry &entry, bool includeDescription)
{
    const double magnitude = std::ceil(std::log10(static_cast<double>(liveCount()) + 1));
    entry.transmitsLeft = static_cast<std::uint8_t>(m_transmitFactor * std::max(1.0, magnitude));
    entry.includeDescription = entry.includeDescription || includeDescription;
    if (!entry.queued) {
        entry.queued = true;
        m_queue.push_front(entry.state.incarnation);
    }
}

std::vector<MemberUpdate> MemberList::takeUpdates(std::size_t budget, std::size_t samples, std::mt19937_64 &random)
{
    std::vector<MemberUpdate> updates;
    std::vector<Incarnation> again;
    std::size_t used = 0;
    while (!m_queue.empty()) {
        Entry *entry = find(m_queue.front());
        if (!entry || entry->transmitsLeft == 0) {
            if (entry) {
                entry->queued = false;
                entry->includeDescription = false;
            }
            m_queue.pop_front();
            continue;
        }
        MemberUpdate update = entry->state;
        if (!entry->includeDescription) {
            update.description = nullptr;
        }
        const std::size_t size = encodedSizeBound(update);
        if (used + size > budget) {
            break;
        }
        used += size;
        updates.push_back(std::move(update));
        --entry->transmitsLeft;
        again.push_back(m_queue.front());
        m_queue.pop_front();
    }
    m_queue.insert(m_queue.end(), again.begin(), again.end());
    for (std::size_t i = 0; i < samples; ++i) {
        const Entry *entry = randomLive(random);
        if (!entry || entry->isolatedSuspicion) {
            continue;
        }
        MemberUpdate update = entry->state;
        update.description = nullptr;
        used += encodedSizeBound(update);
        if (used > budget) {
            break;
        }
        updates.push_back(std::move(update));
    }
    return updates;
}

std::vector<Incarnation> MemberList::takeJoined()
{
    return std::exchange(m_joined, {});
}

void MemberList::addEvent(Event event, const Entry &entry, std::string detail)
{
    if (m_events.size() < MaxEvents) {
        m_events.push_back({ event, memberOf(entry.state), std::move(detail) });
    }
}

std::vector<MembershipEvent> MemberList::takeEvents()
{
    return std::exchange(m_events, {});
}

} // namespace mulberryplank
