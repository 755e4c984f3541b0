#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "mulberryplank/base/event.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/membershipmessage.h"

namespace mulberryplank
{

// A change of a member, for the event log.
struct MembershipEvent {
    Event event;
    Member member;
    std::string detail;
};

// Returns the member that `state` describes. `state` must have a description.
Member memberOf(const MemberUpdate &state);

// The members that one process knows, the rules by which updates are merged, and the queue of updates to disseminate.
// Merging is commutative and idempotent: members that have received the same updates agree, regardless of their order.
class MemberList
{
public:
    struct Entry {
        MemberUpdate state; // always with its description
        Instant lastReceived {}; // the time of the last message from the member itself
        Instant deadline {}; // Suspect: when it is declared dead. Dead: when it is forgotten
        std::uint8_t transmitsLeft = 0;
        std::uint8_t indirectOnlyProbes = 0; // successive probes with indirect responses only
        bool queued = false;
        bool includeDescription = false; // when queued for gossip
        bool leaving = false; // has announced that it leaves
        bool suspectedByThisProcess = false; // if Suspect
        bool isolatedSuspicion = false; // suspected while this process received no messages; not disseminated
    };

    MemberList(const Member &self, std::uint32_t transmitFactor, Duration forgetDeadAfter);
    MemberList(const MemberList &) = delete;
    MemberList &operator=(const MemberList &) = delete;

    // Commands.

    // Merges an update. Returns true if it changed the state. If `disseminate` is set, queues the update for gossip.
    bool merge(const MemberUpdate &update, bool disseminate, Instant now);

    // Suspects a member of not responding. expireSuspicions() declares it dead at `deadline`. An `isolatedSuspicion`
    // isn't disseminated.
    void suspect(Entry &entry, Instant deadline, bool isolatedSuspicion);

    // Declares every suspect dead whose deadline has passed.
    void expireSuspicions(Instant now);

    // Declares a member dead.
    void declareDead(Entry &entry, Instant now);

    // Withdraws all suspicions that arose while this process received no messages.
    void withdrawIsolatedSuspicions();

    // Removes dead members whose deadline has passed.
    void forgetDead(Instant now);

    // Postpones the deadlines of all suspicions.
    void postponeSuspicions(Duration by);

    // Increments this process's own counter, so that its later updates override what other members report of it.
    void incrementOwnCounter();
    void setOwnState(MemberStatus status, Offset applied, bool ready);

    // Queues a member's state for gossip.
    void queue(Entry &entry, bool includeDescription);

    // Returns queued updates of at most `budget` bytes. Adds the state of up to `samples` random members while there is
    // room.
    std::vector<MemberUpdate> takeUpdates(std::size_t budget, std::size_t samples, std::mt19937_64 &random);

    // Returns the members that joined, or returned after being dead, since the last call.
    std::vector<Incarnation> takeJoined();

    void addEvent(Event event, const Entry &entry, std::string detail);
    std::vector<MembershipEvent> takeEvents();

    // Queries.

    Entry &self();
    const Entry &self() const;
    Entry *find(Incarnation incarnation);
    const std::vector<Entry> &entries() const;

    // Returns all members, this process first. Dead members are included until they are forgotten.
    const std::vector<Member> &members() const;

    // Returns the number of members that aren't dead, including this process.
    std::size_t liveCount() const;

    bool hasUpdates() const;
    const std::vector<Incarnation> &suspects() const;

    // Returns a random member that isn't dead, or nullptr if there is none besides this process.
    Entry *randomLive(std::mt19937_64 &random);

    // Returns a random dead member, or nullptr.
    Entry *randomDead(std::mt19937_64 &random);

private:
    bool mergeSelf(const MemberUpdate &update);
    bool insert(const MemberUpdate &update, bool disseminate, Instant now);
    void setStatus(Entry &entry, MemberStatus status);
    void remove(std::size_t index);
    Entry *randomByLiveness(std::mt19937_64 &random, bool dead);

    std::vector<Entry> m_entries; // this process first
    boost::unordered_flat_map<Incarnation, std::uint32_t> m_index;
    std::deque<Incarnation> m_queue;
    std::vector<Incarnation> m_suspects;
    std::vector<Incarnation> m_joined;
    std::vector<Incarnation> m_isolatedSuspicions;
    std::vector<MembershipEvent> m_events;
    std::size_t m_deadCount = 0;
    std::uint32_t m_transmitFactor;
    Duration m_forgetDeadAfter;
    mutable std::vector<Member> m_members;
    mutable bool m_membersStale = true;
};

} // namespace mulberryplank
