#include "mulberryplank/policy/membership.h"

#include <algorithm>

namespace mulberryplank
{

namespace
{

constexpr std::size_t MaxRelays = 256; // a flood of requests must not cost memory

} // namespace

std::vector<OutgoingMessage> Membership::receive(const Endpoint &from, const MembershipMessage &message, Instant now)
{
    std::vector<OutgoingMessage> out;
    handleTickGap(now);
    if (message.sender.incarnation == m_list.self().state.incarnation) {
        return out;
    }
    onMessageReceived(now);
    merge(message.sender, now);
    if (Entry *sender = m_list.find(message.sender.incarnation)) {
        sender->lastReceived = now;
    }
    for (const MemberUpdate &update : message.updates) {
        m_hasUnknownMembers = m_hasUnknownMembers || (!update.description && !m_list.find(update.incarnation));
        merge(update, now);
    }
    compareLiveCount(message.liveCount);
    switch (message.kind) {
    case MembershipKind::Probe:
        respondToProbe(from, message, now, out);
        break;
    case MembershipKind::IndirectProbe:
        relayProbe(from, message, now, out);
        break;
    case MembershipKind::ProbeResponse:
        handleProbeResponse(message, out);
        break;
    case MembershipKind::IndirectResponse:
        handleIndirectResponse(message);
        break;
    case MembershipKind::AddressReassigned:
        handleAddressReassigned(message, now);
        break;
    case MembershipKind::Gossip:
        break;
    }
    return out;
}

void Membership::respondToProbe(const Endpoint &from,
                                const MembershipMessage &message,
                                Instant now,
                                std::vector<OutgoingMessage> &out)
{
    const bool forThisProcess = message.subject == m_list.self().state.incarnation;
    const MembershipKind kind = forThisProcess ? MembershipKind::ProbeResponse : MembershipKind::AddressReassigned;
    MembershipMessage response = this->message(kind, !forThisProcess);
    response.number = message.number;
    response.subject = message.subject;
    const Entry *origin = m_list.find(message.origin == 0 ? message.sender.incarnation : message.origin);
    response.receivedFromOrigin = origin && receivedRecently(*origin, now);
    // A member that others accuse has to learn of it to refute it, and this may be its only way to.
    const Entry *sender = m_list.find(message.sender.incarnation);
    if (sender && (sender->state.status == MemberStatus::Suspect || sender->state.status == MemberStatus::Dead)) {
        response.updates.push_back(sender->state);
        response.updates.back().description = nullptr;
    }
    out.push_back({ from, std::move(response) });
}

void Membership::relayProbe(const Endpoint &from,
                            const MembershipMessage &message,
                            Instant now,
                            std::vector<OutgoingMessage> &out)
{
    std::erase_if(m_relays, [now](const Relay &relay) {
        return relay.expires <= now;
    });
    if (m_relays.size() >= MaxRelays) {
        return;
    }
    const std::uint64_t number = m_nextNumber++;
    m_relays.push_back({ number, message.number, from, now + m_settings.responseTimeout });
    MembershipMessage probe = this->message(MembershipKind::Probe, true);
    probe.number = number;
    probe.subject = message.subject;
    probe.origin = message.sender.incarnation;
    out.push_back({ message.subjectPeer, std::move(probe) });
}

void Membership::handleProbeResponse(const MembershipMessage &message, std::vector<OutgoingMessage> &out)
{
    std::erase_if(m_probes, [&message](const Probe &probe) {
        return probe.number == message.number;
    });
    if (Entry *entry = m_list.find(message.subject)) {
        entry->indirectOnlyProbes = 0;
    }
    const auto relay = std::find_if(m_relays.begin(), m_relays.end(), [&message](const Relay &candidate) {
        return candidate.number == message.number;
    });
    if (relay == m_relays.end()) {
        return;
    }
    MembershipMessage response = this->message(MembershipKind::IndirectResponse, false);
    response.number = relay->originNumber;
    response.subject = message.subject;
    response.receivedFromOrigin = message.receivedFromOrigin;
    out.push_back({ relay->origin, std::move(response) });
    m_relays.erase(relay);
}

void Membership::handleIndirectResponse(const MembershipMessage &message)
{
    for (Probe &probe : m_probes) {
        if (probe.number == message.number && probe.subject == message.subject) {
            probe.respondedIndirectly = true;
            probe.receivedFromThisProcess = probe.receivedFromThisProcess || message.receivedFromOrigin;
        }
    }
}

// Two processes can't listen at one address, so the one that this process knew there has ended. What goes wrong without
// this: a VM that is replaced within seconds stays listed under both incarnations until the old one's suspicion ends.
void Membership::handleAddressReassigned(const MembershipMessage &message, Instant now)
{
    Entry *former = m_list.find(message.subject);
    const Entry *sender = m_list.find(message.sender.incarnation);
    if (!former || !sender || former->state.status == MemberStatus::Dead) {
        return;
    }
    if (former->state.description->peer == sender->state.description->peer) {
        m_list.declareDead(*former, now);
    }
}

} // namespace mulberryplank
