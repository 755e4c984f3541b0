#include "mulberryplank/policy/membership.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace
{

constexpr Seconds SweepInterval { 30 };
constexpr Seconds RecentWindow { 2 };
constexpr std::size_t MaxSuspectProbes = 4; // by this process per probe interval
constexpr double MaxDeadProbeChance = 0.25; // by this process per probe interval
constexpr int OneWayThreshold = 3; // successive probes with indirect responses only, before the path counts as cut
constexpr int IsolatedSuspicionFactor =
    3; // a process that receives no messages waits this many times longer before it declares members dead
constexpr Millis UsualTickGap { 250 };

// Members suspected by other processes and dead members are probed separately. A process that receives no messages
// continues to probe all members.
bool isProbed(const MemberList::Entry &entry)
{
    return entry.isolatedSuspicion || entry.state.status == MemberStatus::Alive
           || entry.state.status == MemberStatus::Leaving;
}

} // namespace

Membership::Membership(const Member &self, MembershipSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_list(self, m_settings.transmitFactor, m_settings.forgetDeadAfter)
    , m_random(seed)
    , m_availableDescriptions(static_cast<double>(m_settings.descriptionBurst))
{
}

std::vector<OutgoingMessage> Membership::tick(Instant now)
{
    std::vector<OutgoingMessage> out;
    handleTickGap(now);
    advanceProbes(now, out);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_settings.probeInterval;
        startProbes(now, out);
    }
    startSuspicions(now);
    m_list.expireSuspicions(now);
    if (now >= m_nextSweep) {
        m_nextSweep = now + SweepInterval;
        m_list.forgetDead(now);
    }
    gossip(now, out);
    return out;
}

// Without this, a process that was paused or starved of CPU time would find its probes without responses and its
// suspects' deadlines expired when it resumes. It would then suspect many members that responded in time. The time of
// the gap is therefore not counted against any member. After a long gap the process also requests the updates that it
// missed. If other members declared it dead during the gap, it learns so from the response to its next probe.
void Membership::handleTickGap(Instant now)
{
    if (!m_started) {
        m_started = true;
        m_startedAt = now;
        m_lastTick = now;
        m_lastReceived = now;
        m_nextExchange = now + m_settings.exchangeInterval;
    }
    const Duration gap = now - m_lastTick;
    m_lastTick = now;
    for (Probe &probe : m_probes) {
        probe.waited += std::min<Duration>(gap, UsualTickGap);
    }
    if (gap <= UsualTickGap) {
        return;
    }
    m_list.postponeSuspicions(gap);
    if (gap < m_settings.pauseThreshold) {
        return;
    }
    m_probes.clear();
    m_relays.clear();
    m_hasUnknownMembers = true;
    m_nextEarlyExchange = now;
    m_outdated = m_outdated || gap * 2 > m_settings.forgetDeadAfter;
}

void Membership::onMessageReceived(Instant now)
{
    // Probes from a time when this process received no messages give no evidence about their subjects, even if it
    // receives messages again by the time that they end.
    if (now - m_lastReceived >= m_settings.probeInterval * 2) {
        m_probes.clear();
    }
    m_lastReceived = now;
    m_list.withdrawIsolatedSuspicions();
}

void Membership::startProbes(Instant now, std::vector<OutgoingMessage> &out)
{
    insertJoinedMembers();
    const Incarnation subject = nextSubject();
    if (subject != 0) {
        const std::uint64_t number = m_nextNumber++;
        Probe probe;
        probe.number = number;
        probe.subject = subject;
        probe.started = now;
        m_probes.push_back(probe);
        out.push_back(probeMessage(*m_list.find(subject), number, 0));
    }
    probeSuspects(out);
    probeDead(out);
}

// Dead members are probed occasionally, so that two partitions of the fleet find each other again. The rate is shared
// by the fleet. Otherwise all processes of a large fleet would probe the same dead members and overload the process
// that has taken over such an address.
void Membership::probeDead(std::vector<OutgoingMessage> &out)
{
    const auto dead = static_cast<double>(m_list.entries().size() - m_list.liveCount());
    const double share = m_settings.deadProbes * dead / static_cast<double>(m_list.liveCount());
    if (const Entry *entry = chance(std::min(share, MaxDeadProbeChance)) ? m_list.randomDead(m_random) : nullptr) {
        out.push_back(probeMessage(*entry, m_nextNumber++, 0));
    }
}

void Membership::probeSuspects(std::vector<OutgoingMessage> &out)
{
    const std::vector<Incarnation> &suspects = m_list.suspects();
    const std::size_t count = std::min(MaxSuspectProbes, suspects.size());
    for (std::size_t i = 0; i < count; ++i) {
        const Entry *suspect = m_list.find(suspects[m_nextSuspect++ % suspects.size()]);
        if (suspect->suspectedByThisProcess
            || chance(m_settings.suspectProbes / static_cast<double>(m_list.liveCount()))) {
            out.push_back(probeMessage(*suspect, m_nextNumber++, 0));
        }
    }
}

bool Membership::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

void Membership::advanceProbes(Instant now, std::vector<OutgoingMessage> &out)
{
    std::vector<Probe> finished;
    for (Probe &probe : m_probes) {
        const Entry *subject = m_list.find(probe.subject);
        const bool retry = (probe.stage == 0 && probe.waited >= m_settings.retryAfter)
                           || (probe.stage == 1 && probe.waited >= m_settings.secondRetryAfter);
        if (!subject || probe.waited >= m_settings.responseTimeout) {
            finished.push_back(probe);
        } else if (retry) {
            ++probe.stage;
            retryProbe(probe, *subject, out);
        }
    }
    for (const Probe &probe : finished) {
        std::erase_if(m_probes, [&probe](const Probe &other) {
            return other.number == probe.number;
        });
        finishProbe(probe, now);
    }
}

void Membership::retryProbe(const Probe &probe, const Entry &subject, std::vector<OutgoingMessage> &out)
{
    out.push_back(probeMessage(subject, probe.number, 0));
    if (probe.respondedIndirectly) {
        return;
    }
    for (std::size_t i = 0; i < m_settings.indirectProbes; ++i) {
        const Entry *helper = m_list.randomLive(m_random);
        if (!helper || helper->state.incarnation == probe.subject) {
            continue;
        }
        MembershipMessage request = message(MembershipKind::IndirectProbe, true);
        request.number = probe.number;
        request.subject = probe.subject;
        request.subjectPeer = subject.state.description->peer;
        out.push_back({ helper->state.description->peer, std::move(request) });
    }
}

// Called only for probes without a direct response.
void Membership::finishProbe(const Probe &probe, Instant now)
{
    Entry *entry = m_list.find(probe.subject);
    if (!entry || entry->state.status == MemberStatus::Suspect || entry->state.status == MemberStatus::Dead) {
        return;
    }
    if (!probe.respondedIndirectly) {
        suspectSubject(*entry, probe, now);
        return;
    }
    m_probeOrder.push_back(probe.subject); // probe it again soon
    if (++entry->indirectOnlyProbes == OneWayThreshold) {
        m_list.addEvent(Event::MemberOneWay,
                        *entry,
                        probe.receivedFromThisProcess ? "its messages don't reach this process"
                                                      : "messages from this process don't reach it");
    } else if (entry->indirectOnlyProbes > OneWayThreshold) {
        entry->indirectOnlyProbes = OneWayThreshold;
        m_probeOrder.pop_back();
    }
}

void Membership::suspectSubject(Entry &entry, const Probe &probe, Instant now)
{
    const bool isIsolated = m_lastReceived < probe.started;
    const Duration time = suspicionTime(entry) * (isIsolated ? IsolatedSuspicionFactor : 1);
    if (!isIsolated && receivedRecently(entry, now)) {
        m_list.addEvent(Event::MemberOneWay, entry, "sends messages but responds to no member");
    }
    entry.suspectedByThisProcess = true;
    m_list.suspect(entry, now + time, isIsolated);
}

bool Membership::receivedRecently(const Entry &entry, Instant now) const
{
    return now - entry.lastReceived < RecentWindow;
}

void Membership::startSuspicions(Instant now)
{
    for (const Incarnation incarnation : m_list.suspects()) {
        Entry *entry = m_list.find(incarnation);
        if (entry->deadline == Instant::max()) {
            entry->deadline = now + suspicionTime(*entry);
            m_list.addEvent(Event::MemberSuspected, *entry, "reported by other members");
        }
    }
}

// Returns how long a suspect has to refute: long enough for gossip to reach it and for its refutation to return, which
// takes longer in a larger fleet.
Duration Membership::suspicionTime(const Entry &entry) const
{
    const double digits = std::log10(static_cast<double>(m_list.liveCount()) + 1);
    double factor = 1 + digits / 2;
    if (!m_hints.empty()) {
        const auto hint = m_hints.find(entry.state.description->vm);
        const bool live = hint != m_hints.end() && hint->second == VmHint::Live;
        factor *= live ? 1.25 : 0.5;
    }
    return fromSeconds(toSeconds(m_settings.suspicionTimeout) * factor);
}

Incarnation Membership::nextSubject()
{
    for (int refills = 0; refills < 2;) {
        if (m_probeOrder.empty()) {
            refillProbeOrder();
            ++refills;
            continue;
        }
        const Incarnation incarnation = m_probeOrder.back();
        m_probeOrder.pop_back();
        const Entry *entry = m_list.find(incarnation);
        const bool beingProbed = std::any_of(m_probes.begin(), m_probes.end(), [incarnation](const Probe &probe) {
            return probe.subject == incarnation;
        });
        if (entry && !beingProbed && isProbed(*entry)) {
            return incarnation;
        }
    }
    return 0;
}

// Without this, a member that joins late wouldn't be probed by any process until their rounds end, which takes an hour
// in a large fleet. Deaths of restarted members would go undetected.
void Membership::insertJoinedMembers()
{
    for (const Incarnation incarnation : m_list.takeJoined()) {
        m_probeOrder.push_back(incarnation);
        std::uniform_int_distribution<std::size_t> place(0, m_probeOrder.size() - 1);
        std::swap(m_probeOrder.back(), m_probeOrder[place(m_random)]);
    }
}

void Membership::refillProbeOrder()
{
    for (const Entry &entry : m_list.entries()) {
        if (&entry != &m_list.self() && isProbed(entry)) {
            m_probeOrder.push_back(entry.state.incarnation);
        }
    }
    std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
}

void Membership::gossip(Instant now, std::vector<OutgoingMessage> &out)
{
    if (now < m_nextGossip || !m_list.hasUpdates()) {
        return;
    }
    m_nextGossip = now + m_settings.gossipInterval;
    for (std::size_t i = 0; i < m_settings.gossipFanout; ++i) {
        const Entry *receiver = m_list.randomLive(m_random);
        if (!receiver) {
            return;
        }
        const Endpoint to = receiver->state.description->peer;
        MembershipMessage gossipMessage = message(MembershipKind::Gossip, false);
        if (!gossipMessage.updates.empty()) {
            out.push_back({ to, std::move(gossipMessage) });
        }
    }
}

MembershipMessage Membership::message(MembershipKind kind, bool describeSelf)
{
    MembershipMessage result;
    result.kind = kind;
    result.sender = m_list.self().state;
    if (!describeSelf) {
        result.sender.description = nullptr;
    }
    result.liveCount = static_cast<std::uint32_t>(m_list.liveCount());
    result.updates = m_list.takeUpdates(m_settings.updateBudget, m_settings.samples, m_random);
    return result;
}

OutgoingMessage Membership::probeMessage(const Entry &subject, std::uint64_t number, Incarnation origin)
{
    MembershipMessage probe = message(MembershipKind::Probe, true);
    probe.number = number;
    probe.subject = subject.state.incarnation;
    probe.origin = origin;
    const bool isAccusedSubject =
        subject.state.status == MemberStatus::Suspect || subject.state.status == MemberStatus::Dead;
    if (isAccusedSubject && !subject.isolatedSuspicion) {
        probe.updates.push_back(subject.state);
        probe.updates.back().description = nullptr;
    }
    return { subject.state.description->peer, std::move(probe) };
}

void Membership::updateSelf(Offset applied, bool ready)
{
    m_list.setOwnState(m_list.self().state.status, applied, ready);
}

void Membership::leave(Instant now)
{
    m_list.self().leaving = true;
    m_list.setOwnState(MemberStatus::Leaving, m_list.self().state.applied, m_list.self().state.ready);
    m_nextGossip = now;
}

void Membership::setVmHints(std::unordered_map<VmName, VmHint> hints)
{
    m_hints = std::move(hints);
}

std::vector<MembershipEvent> Membership::takeEvents()
{
    return m_list.takeEvents();
}

const std::vector<Member> &Membership::members() const
{
    return m_list.members();
}

bool Membership::isAlone() const
{
    return m_list.liveCount() <= 1;
}

Duration Membership::timeSinceLastMessage(Instant now) const
{
    return now - m_lastReceived;
}

} // namespace mulberryplank
