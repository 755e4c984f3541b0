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

// Something that happened to a member, for the log.
struct MembershipEvent {
    Event event;
    Member member;
    std::string detail;
};

// Returns the member that `state` describes. Its description must be there.
Member memberOf(const MemberUpdate &state);

// What one process knows of the members: the rules by which updates are merged, and the queue of what is passed on.
// Merging is commutative and idempotent: members that have seen the same updates agree, in whatever order they came.
class MemberList
{
public:
    struct Entry {
        MemberUpdate state; // always with its description
        Instant lastReceived {}; // when a message came from the member itself
        Instant deadline {}; // Suspect: taken for dead then. Dead: forgotten then
        std::uint8_t transmitsLeft = 0;
        std::uint8_t indirectOnlyProbes = 0; // successive probes that only got an answer through others
        bool queued = false;
        bool includeDescription = false; // pass on with the description
        bool leaving = false; // has announced that it leaves
        bool suspectedByThisProcess = false; // Suspect: by this process
        bool isolatedSuspicion = false; // accused while hearing nobody: kept to oneself
    };

    MemberList(const Member &self, std::uint32_t transmitFactor, Duration forgetDeadAfter);
    MemberList(const MemberList &) = delete;
    MemberList &operator=(const MemberList &) = delete;

    // Commands.

    // Merges an update. Returns true if it brought something new. `disseminate` queues it for gossip.
    bool merge(const MemberUpdate &update, bool disseminate, Instant now);

    // Accuses a member of not answering until `deadline`, at which expireSuspicions() takes it for dead. An accusation
    // of `isolatedSuspicion` isn't passed on.
    void suspect(Entry &entry, Instant deadline, bool isolatedSuspicion);

    // Takes every suspect for dead whose deadline has come.
    void expireSuspicions(Instant now);

    // Declares a member dead.
    void declareDead(Entry &entry, Instant now);

    // Withdraws all accusations that were made while hearing nobody.
    void withdrawIsolatedSuspicions();

    // Forgets the dead whose deadline has come.
    void forgetDead(Instant now);

    // Puts off all suspicions.
    void postponeSuspicions(Duration by);

    // Raises the own counter, so that what is said of this process from now on overrides what others say.
    void incrementOwnCounter();
    void setOwnState(MemberStatus status, Offset applied, bool ready);

    // Queues a member's state for gossip.
    void queue(Entry &entry, bool includeDescription);

    // Takes queued updates of at most `budget` bytes, then fills up with the state of up to `samples` random members.
    std::vector<MemberUpdate> takeUpdates(std::size_t budget, std::size_t samples, std::mt19937_64 &random);

    // Returns the members that joined, or came back from the dead, since the last call.
    std::vector<Incarnation> takeJoined();

    void addEvent(Event event, const Entry &entry, std::string detail);
    std::vector<MembershipEvent> takeEvents();

    // Queries.

    Entry &self();
    const Entry &self() const;
    Entry *find(Incarnation incarnation);
    const std::vector<Entry> &entries() const;

    // Returns every member known, this process first; those taken for dead are among them until they are forgotten.
    const std::vector<Member> &members() const;

    // Returns the number of members that aren't taken for dead, this process included.
    std::size_t liveCount() const;

    bool hasUpdates() const;
    const std::vector<Incarnation> &suspects() const;

    // Returns a random member that isn't taken for dead, or nothing if there is none besides this process.
    Entry *randomLive(std::mt19937_64 &random);

    // Returns a random member that is taken for dead, or nothing.
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
