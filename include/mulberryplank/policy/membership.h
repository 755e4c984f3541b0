#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/memberlist.h"
#include "mulberryplank/policy/membershipmessage.h"

namespace mulberryplank
{

// What the platform's VM list says of a VM. It lags, so it only makes a suspicionTimeout shorter or longer.
enum class VmHint : std::uint8_t {
    Live,
    Leaving,
};

struct MembershipSettings {
    std::vector<Endpoint> seeds; // peer addresses to join through
    std::size_t preferredSeeds = 0; // so many of the first ones are asked before the others
    Duration probeInterval = Millis(500); // each process probes one member in each
    Duration retryAfter = Millis(150); // without an response: again, and through others
    Duration secondRetryAfter = Millis(350);
    Duration responseTimeout = Millis(600); // without an response by then: suspect
    std::size_t indirectProbes = 4; // at each of the two retries
    Duration suspicionTimeout = Seconds(2); // grows with the size of the fleet, see Membership::suspicionTime()
    double suspectProbes = 2; // of each suspect by the fleet, in one probeInterval, besides those of its accusers
    double deadProbes = 0.25; // of each of the dead by the fleet, in one probeInterval
    Duration forgetDeadAfter = std::chrono::hours(1); // longer than two regions may lose each other
    Duration gossipInterval = Millis(250); // while there is news
    std::size_t gossipFanout = 2;
    std::uint32_t transmitFactor = 4; // each update is passed on so often times the fleet's size in digits
    std::size_t updateBudget = 600; // bytes of updates in one message
    std::size_t samples = 4; // random members whose state fills up a message
    Duration pauseThreshold = Seconds(2); // a gap between ticks from which on this process counts as paused
    Duration joinRetryInterval = Millis(100); // of seeds, while alone
    Duration seedTimeout = Millis(600); // before the same one is asked again
    Duration seedRetryInterval = Seconds(5); // of a seed that isn't among the live members
    Duration exchangeInterval = std::chrono::minutes(10); // of whole lists
    Duration earlyExchangeInterval = Seconds(10); // at least, between exchanges for the sake of unknown members
    Duration catchUpInterval = Millis(250); // the same while this process has just started
    Duration catchUpDuration = Seconds(5); // after which it counts as started
    // So many members that an asker doesn't know are described in a second, and at once after a pause. When a whole
    // fleet starts, everybody asks the same few seeds for lists that grow with the fleet: their links would be full for
    // longer than an response is waited for, and every response would be asked for again.
    double descriptionsPerSecond = 8'000;
    std::size_t descriptionBurst = 8'000;
    std::size_t minDescriptions = 16; // to each asker, who then has others to ask
    double toleratedDifference =
        0.02; // of the members, by which two lists differ for a while after members came or went
};

// Which members there are and which of them response, by the SWIM protocol: each process probes one member after the
// other, in random order, asks others to probe it if it doesn't response, then suspects it and tells the others; a
// suspect that doesn't refute in time is dead. News travels on the probes and, while there is any, in short gossip
// messages. A process sends a bounded number of bytes per second, whatever the size of the fleet.
//
// A member that answers others but not this process has a faulty path to this process: it stays alive, and the event
// MemberOneWay says in which direction the path is cut.
//
// Time passes through the arguments only, and must not go back. Not synchronized.
class Membership
{
public:
    Membership(const Member &self, MembershipSettings settings, std::uint64_t seed);
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    // Commands.

    // Does what is due. To be called every 100 ms or so; after a longer gap than `pauseThreshold` this process takes
    // itself for paused: it accuses nobody for what it missed, and makes itself known again.
    std::vector<OutgoingMessage> tick(Instant now);

    // Takes in a message from a member and returns what to send in turn. `from` is where the sender listens.
    std::vector<OutgoingMessage> receive(const Endpoint &from, const MembershipMessage &message, Instant now);

    // Says how far this process has applied the configuration, and whether it serves.
    void updateSelf(Offset applied, bool ready);

    // Announces that this process leaves. It stays a member until it ends.
    void leave(Instant now);

    // Replaces the hints from the VM list. VMs that aren't named count as leaving; no entries at all means no hints.
    void setVmHints(std::unordered_map<VmName, VmHint> hints);

    // Returns the member or seed to exchange whole lists with, if that is due now. The caller sends it
    // exchangeRequest(), which the other side answers with respondToExchange(), and passes the response to
    // mergeExchange(). An response describes as many members as the limits allow; an asker that still knows fewer asks
    // another one soon.
    std::optional<Endpoint> exchangeDue(Instant now);
    MemberExchange respondToExchange(const std::vector<MemberUpdate> &request, Instant now);
    void mergeExchange(const MemberExchange &response, Instant now);

    // Replaces the peer addresses to join through, of which the first `preferred` are asked before the others.
    void setSeeds(std::vector<Endpoint> seeds, std::size_t preferred);

    // Returns what happened since the last call.
    std::vector<MembershipEvent> takeEvents();

    // Queries.

    // Returns every member known, this process first. Those taken for dead stay listed as such for forgetDeadAfter.
    const std::vector<Member> &members() const;

    // Returns this process's state of every member, in brief, with its own description.
    std::vector<MemberUpdate> exchangeRequest() const;

    // Returns true while no other member is known to be alive.
    bool isAlone() const;

    // Returns the time since any message came from a member.
    Duration timeSinceLastMessage(Instant now) const;

private:
    struct Probe {
        std::uint64_t number = 0;
        Incarnation subject = 0;
        Instant started;
        Duration waited {}; // since it started, without the time that this process was held up
        int stage = 0;
        bool respondedIndirectly = false;
        bool receivedFromThisProcess = false;
    };
    // A probe on behalf of another member.
    struct Relay {
        std::uint64_t number = 0;
        std::uint64_t originNumber = 0;
        Endpoint origin;
        Instant expires;
    };
    using Entry = MemberList::Entry;

    void handleTickGap(Instant now);
    void onMessageReceived(Instant now);
    void startProbes(Instant now, std::vector<OutgoingMessage> &out);
    void probeSuspects(std::vector<OutgoingMessage> &out);
    void probeDead(std::vector<OutgoingMessage> &out);
    bool chance(double probability);
    void advanceProbes(Instant now, std::vector<OutgoingMessage> &out);
    void retryProbe(const Probe &probe, const Entry &subject, std::vector<OutgoingMessage> &out);
    void finishProbe(const Probe &probe, Instant now);
    void suspectSubject(Entry &entry, const Probe &probe, Instant now);
    void gossip(Instant now, std::vector<OutgoingMessage> &out);
    void startSuspicions(Instant now);
    Duration suspicionTime(const Entry &entry) const;
    bool receivedRecently(const Entry &entry, Instant now) const;
    Incarnation nextSubject();
    void refillProbeOrder();
    void insertJoinedMembers();
    std::optional<Endpoint> chooseUnknownSeed(Instant now);
    void compareLiveCount(std::size_t peerLiveCount);
    bool justStarted(Instant now) const;
    void merge(const MemberUpdate &update, Instant now);
    Duration minExchangeInterval(Instant now) const;
    std::size_t availableDescriptions(Instant now);

    void respondToProbe(const Endpoint &from,
                        const MembershipMessage &message,
                        Instant now,
                        std::vector<OutgoingMessage> &out);
    void relayProbe(const Endpoint &from,
                    const MembershipMessage &message,
                    Instant now,
                    std::vector<OutgoingMessage> &out);
    void handleProbeResponse(const MembershipMessage &message, std::vector<OutgoingMessage> &out);
    void handleIndirectResponse(const MembershipMessage &message);
    void handleAddressReassigned(const MembershipMessage &message, Instant now);

    MembershipMessage message(MembershipKind kind, bool describeSelf);
    OutgoingMessage probeMessage(const Entry &subject, std::uint64_t number, Incarnation origin);

    MembershipSettings m_settings;
    MemberList m_list;
    std::mt19937_64 m_random;
    std::unordered_map<VmName, VmHint> m_hints;
    std::vector<Incarnation> m_probeOrder;
    std::vector<Probe> m_probes;
    std::vector<Relay> m_relays;
    std::uint64_t m_nextNumber = 1;
    std::size_t m_nextSuspect = 0;
    bool m_started = false;
    bool m_outdated = false; // paused for so long that the own list may name the forgotten
    bool m_hasUnknownMembers = false; // gossip spoke of members that this process doesn't know
    double m_availableDescriptions = 0; // members that may be described to askers, as of m_availableDescriptionsAt
    Instant m_availableDescriptionsAt {};
    Instant m_startedAt {};
    Instant m_lastTick {};
    Instant m_lastReceived {};
    Instant m_nextProbe {};
    Instant m_nextGossip {};
    Instant m_nextSweep {};
    Instant m_nextSeed {};
    std::map<Endpoint, Instant> m_seedRequestTimes; // when each was asked last
    Instant m_nextExchange {};
    Instant m_nextEarlyExchange {};
};

} // namespace mulberryplank
