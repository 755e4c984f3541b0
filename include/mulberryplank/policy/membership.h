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

// What the platform's VM list reports of a VM. The list lags, so it only makes the time until a suspect is declared
// dead longer or shorter.
enum class VmHint : std::uint8_t {
    Live,
    Leaving,
};

struct MembershipSettings {
    std::vector<Endpoint> seeds; // peer addresses to join through
    std::size_t preferredSeeds = 0; // the first ones in `seeds`, which are queried before the others
    Duration probeInterval = Millis(500); // each process probes one member per interval
    Duration retryAfter = Millis(150); // without a response: probes again, also indirectly
    Duration secondRetryAfter = Millis(350);
    Duration responseTimeout = Millis(600); // after which a member without a response is suspected
    std::size_t indirectProbes = 4; // at each of the two retries
    Duration suspicionTimeout = Seconds(2); // grows with the size of the fleet, see Membership::suspicionTime()
    double suspectProbes = 2; // of each suspect per probeInterval by the whole fleet, besides probes of processes that
                              // suspect it themselves
    double deadProbes = 0.25; // of each dead member per probeInterval by the whole fleet
    Duration forgetDeadAfter = std::chrono::hours(1); // longer than two regions may be disconnected from each other
    Duration gossipInterval = Millis(250); // while there are queued updates
    std::size_t gossipFanout = 2;
    std::uint32_t transmitFactor = 4; // each update is sent this many times the number of digits of the fleet's size
    std::size_t updateBudget = 600; // bytes of updates in one message
    std::size_t samples = 4; // random members whose state fills up a message
    Duration pauseThreshold = Seconds(2); // minimum gap between ticks after which this process counts as paused
    Duration joinRetryInterval =
        Millis(100); // for queries of seeds while no other member is known, and for the first query of each seed
    Duration seedTimeout = Millis(600); // before the same seed is queried again
    Duration seedRetryInterval = Seconds(5); // for further queries of seeds that aren't among the live members, in turn
    Duration exchangeInterval = std::chrono::minutes(10); // between exchanges of whole lists
    Duration earlyExchangeInterval = Seconds(10); // minimum between early exchanges due to unknown members
    Duration catchUpInterval = Millis(250); // the same while this process has just started
    Duration catchUpDuration = Seconds(5); // after which it counts as started
    // Limits on descriptions of members that the requesting process doesn't know: per second, and at once after an idle
    // time. When a whole fleet starts, all processes request lists from the same few seeds, and the lists grow with the
    // fleet. Without a limit the seeds' links would be full for longer than the response timeout, and every response
    // would be requested again.
    double descriptionsPerSecond = 8'000;
    std::size_t descriptionBurst = 8'000;
    std::size_t minDescriptions = 16; // to each requesting process, which can then query other members
    double toleratedDifference =
        0.02; // share of the members by which two lists may differ for a while after members joined or left
};

// Tracks which members exist and which of them respond, by the SWIM protocol. Each process probes the members one after
// the other in random order. If a member doesn't respond, the process has other members probe it, then suspects it and
// disseminates that. A suspect that doesn't refute in time is declared dead. Updates are piggybacked on probes and,
// while there are any, sent in short gossip messages. A process sends a bounded number of bytes per second, regardless
// of the size of the fleet.
//
// A member that responds to other members but not to this process has a faulty path to this process. It stays alive,
// and the event MemberOneWay reports in which direction the path is cut.
//
// Time is passed in through arguments only and must not go back. Thread-compatible.
class Membership
{
public:
    Membership(const Member &self, MembershipSettings settings, std::uint64_t seed);
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    // Commands.

    // Performs all work that is due. Should be called about every 100 ms. After a gap longer than `pauseThreshold`,
    // this process considers itself paused: it suspects no member for missed responses, and announces itself again
    // by an exchange of lists.
    std::vector<OutgoingMessage> tick(Instant now);

    // Handles a message from a member. Returns the messages to send in response. `from` is the address at which the
    // sender listens.
    std::vector<OutgoingMessage> receive(const Endpoint &from, const MembershipMessage &message, Instant now);

    // Sets the offset up to which this process has applied the configuration, and whether it serves.
    void updateSelf(Offset applied, bool ready);

    // Announces that this process is leaving. It stays a member until it ends.
    void leave(Instant now);

    // Replaces the hints from the VM list. VMs that aren't listed count as leaving; an empty list means that there are
    // no hints.
    void setVmHints(std::unordered_map<VmName, VmHint> hints);

    // Returns the member to exchange whole lists with, if an exchange is due. The caller sends it exchangeRequest(),
    // the peer responds with respondToExchange(), and the caller passes the response to mergeExchange(). A response
    // describes as many members as the limits allow; a process that still knows fewer soon queries another one.
    std::optional<Endpoint> exchangeDue(Instant now);

    // Returns the seed to exchange whole lists with in the same way, if one is due. No live member is known at its
    // address, and it may not respond.
    std::optional<Endpoint> seedQueryDue(Instant now);

    MemberExchange respondToExchange(const std::vector<MemberUpdate> &request, Instant now);
    void mergeExchange(const MemberExchange &response, Instant now);

    // Replaces the peer addresses to join through, of which the first `preferred` are queried before the others.
    void setSeeds(std::vector<Endpoint> seeds, std::size_t preferred);

    // Returns the events since the last call.
    std::vector<MembershipEvent> takeEvents();

    // Queries.

    // Returns all members, this process first. Dead members stay listed as such for forgetDeadAfter.
    const std::vector<Member> &members() const;

    // Returns this process's state of every member without descriptions, except for its own.
    std::vector<MemberUpdate> exchangeRequest() const;

    // Returns true while no other member is known to be alive.
    bool isAlone() const;

    // Returns whether `seed` was queried at least `seedTimeout` ago and no live member is known at its address.
    bool isUnresponsiveSeed(const Endpoint &seed, Instant now) const;

    // Returns the time since the last message from any member.
    Duration timeSinceLastMessage(Instant now) const;

private:
    struct Probe {
        std::uint64_t number = 0;
        Incarnation subject = 0;
        Instant started;
        Duration waited {}; // since it started, not counting the time during which this process was paused
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
    Duration seedInterval(const std::optional<Endpoint> &seed) const;
    bool isLivePeer(const Endpoint &peer) const;
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
    bool m_outdated = false; // paused for so long that the list may contain members that others have forgotten
    bool m_hasUnknownMembers = false; // gossip mentioned members that this process doesn't know
    double m_availableDescriptions = 0; // token bucket, as of m_availableDescriptionsAt
    Instant m_availableDescriptionsAt {};
    Instant m_startedAt {};
    Instant m_lastTick {};
    Instant m_lastReceived {};
    Instant m_nextProbe {};
    Instant m_nextGossip {};
    Instant m_nextSweep {};
    Instant m_nextSeed {};
    std::map<Endpoint, Instant> m_seedRequestTimes; // time of the last query of each seed
    Instant m_nextExchange {};
    Instant m_nextEarlyExchange {};
};

} // namespace mulberryplank
