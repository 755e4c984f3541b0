// The part of ConfigSync that communicates with other proxies.
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/cerealcodec.h"
#include "mulberryplank/net/configmessages.h"
#include "mulberryplank/net/configsync.h"

namespace mulberryplank
{

namespace asio = boost::asio;

ConfigPeerAccess accessTo(PeerTransport &transport, Duration timeout)
{
    ConfigPeerAccess access;
    access.push = [&transport](const Endpoint &to, std::string_view payload) {
        return transport.send(to, PeerKind::ConfigPush, payload);
    };
    access.pull = [&transport, timeout](Endpoint to, std::string payload) {
        return transport.call(std::move(to), PeerKind::ConfigPull, std::move(payload), timeout);
    };
    return access;
}

void ConfigSync::attach(PeerTransport &transport)
{
    transport.onDatagram(PeerKind::ConfigPush, [this](const PeerSender &sender, std::string_view payload) {
        onPush(sender, payload);
    });
    transport.onCall(PeerKind::ConfigPull, [this](const PeerSender &sender, std::string_view payload) {
        return onPull(sender, payload);
    });
}

std::vector<Member> ConfigSync::peers() const
{
    std::vector<Member> others = m_members();
    std::erase_if(others, [this](const Member &member) {
        return member.vm == m_settings.self || member.status == MemberStatus::Dead;
    });
    return others;
}

// Returns a random peer that is known to have applied `minApplied` or more. If none has, returns any peer, or nothing
// when there are no peers.
std::optional<Member> ConfigSync::randomPeer(Offset minApplied)
{
    const std::vector<Member> all = peers();
    std::vector<Member> upToDate = all;
    std::erase_if(upToDate, [minApplied](const Member &member) {
        return member.applied < minApplied;
    });
    const std::vector<Member> &candidates = upToDate.empty() ? all : upToDate;
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    return candidates[pick(m_random)];
}

void ConfigSync::gossip()
{
    for (const Member &member : peers()) {
        noteNewest(member.applied);
    }
    if (const auto peer = randomPeer(0)) {
        const ConfigPush push { m_state.applied(), {} };
        (void)m_peers.push(peer->peer, cerealEncode(push));
    }
}

// Sends the records from `from` on, as far as they fit in one datagram. A peer that still lacks some sees this proxy's
// position, and pulls.
void ConfigSync::pushTo(const Endpoint &peer, Offset from)
{
    ConfigPush push { m_state.applied(), {} };
    if (auto update = m_state.updateSince(from)) {
        std::size_t bytes = 0;
        std::size_t fitting = 0;
        while (fitting < update->records.size() && bytes + update->records[fitting].size() <= m_settings.maxPush) {
            bytes += update->records[fitting].size();
            ++fitting;
        }
        update->records.resize(fitting);
        push.update = std::move(*update);
    }
    (void)m_peers.push(peer, cerealEncode(push));
}

void ConfigSync::forward(Offset from)
{
    std::vector<Member> others = peers();
    std::shuffle(others.begin(), others.end(), m_random);
    others.resize(std::min(others.size(), m_settings.pushFanout));
    for (const Member &member : others) {
        pushTo(member.peer, from);
    }
}

Endpoint ConfigSync::endpointOf(const PeerSender &sender) const
{
    for (const Member &member : m_members()) {
        if (member.vm == sender.vm) {
            return member.peer;
        }
    }
    return sender.from;
}

void ConfigSync::notePeerProgress(Offset applied)
{
    if (applied >= m_state.applied()) {
        m_lastCurrentPeerAt = m_clock();
    }
    noteNewest(applied);
}

void ConfigSync::onPush(const PeerSender &sender, std::string_view payload)
{
    const auto push = cerealDecode<ConfigPush>(payload);
    if (!push) {
        return;
    }
    const Offset before = m_state.applied();
    notePeerProgress(push->applied);
    if (!push->update.records.empty() && applyUpdate(push->update, sender.vm.value()) && m_state.applied() > before) {
        m_events(Event::LearntFromPeer, { { "peer", sender.vm.value() }, { "applied", m_state.applied() } });
    }
    if (push->applied > m_state.applied()) {
        spawn(pullFrom(endpointOf(sender)));
    } else if (push->applied < before) {
        // The sender may receive datagrams although its calls fail.
        pushTo(endpointOf(sender), push->applied);
    }
}

Result<std::string> ConfigSync::onPull(const PeerSender &, std::string_view payload)
{
    const auto pull = cerealDecode<ConfigPull>(payload);
    if (!pull) {
        return tl::make_unexpected(pull.error());
    }
    ConfigPullResponse response { m_state.applied(), m_phase == ConfigPhase::InForce, {}, {} };
    notePeerProgress(pull->applied);
    if (response.ready && pull->applied < response.applied) {
        if (auto update = m_state.updateSince(pull->applied)) {
            response.update = std::move(*update);
        } else {
            m_state.read([&](const ConfigTable &table) {
                response.snapshot = table.snapshot();
            });
        }
    }
    return cerealEncode(response);
}

asio::awaitable<void> ConfigSync::repair()
{
    const bool lacking = m_phase != ConfigPhase::InForce || m_newest > m_state.applied();
    const auto peer = randomPeer(m_state.applied() + 1);
    m_peersTried = m_peersTried || !peer;
    if (lacking && peer) {
        co_await pullFrom(peer->peer);
    }
}

asio::awaitable<void> ConfigSync::pullFrom(Endpoint peer)
{
    if (m_pulling) {
        co_return;
    }
    m_pulling = true;
    const ConfigPull pull { m_state.applied() };
    const auto payload = co_await m_peers.pull(peer, cerealEncode(pull));
    m_pulling = false;
    m_peersTried = true;
    const auto response = payload ? cerealDecode<ConfigPullResponse>(*payload) : tl::make_unexpected(payload.error());
    if (!response || !response->ready) {
        co_return;
    }
    const Offset before = m_state.applied();
    notePeerProgress(response->applied);
    if (!response->snapshot.empty()) {
        auto table = ConfigTable::fromSnapshot(response->snapshot);
        if (table) {
            load(std::move(*table), toString(peer));
        }
    } else {
        applyUpdate(response->update, toString(peer));
    }
    if (m_state.applied() > before) {
        m_events(Event::LearntFromPeer, { { "peer", toString(peer) }, { "applied", m_state.applied() } });
    }
    if (response->applied > 0 && m_state.applied() >= response->applied) {
        markInForce("");
    }
    if (response->applied == 0 && m_newest == 0) {
        markInForce("empty, as reported by " + toString(peer));
    }
}

} // namespace mulberryplank
