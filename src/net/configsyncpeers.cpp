// The side of ConfigSync that talks to other proxies.
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

// Returns a random peer that has applied at least `least` as far as is known, or any, or nothing when there are none.
std::optional<Member> ConfigSync::randomPeer(Offset least)
{
    const std::vector<Member> all = peers();
    std::vector<Member> able = all;
    std::erase_if(able, [least](const Member &member) {
        return member.applied < least;
    });
    const std::vector<Member> &candidates = able.empty() ? all : able;
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

// Sends the records from `from` on, as far as they fit in one datagram. A peer that gets fewer than it lacks sees how
// far this proxy is, and pulls.
void ConfigSync::pushTo(const Endpoint &peer, Offset from)
{
    ConfigPush push { m_state.applied(), {} };
    if (auto news = m_state.newsSince(from)) {
        std::size_t bytes = 0;
        std::size_t fitting = 0;
        while (fitting < news->records.size() && bytes + news->records[fitting].size() <= m_settings.maxPush) {
            bytes += news->records[fitting].size();
            ++fitting;
        }
        news->records.resize(fitting);
        push.news = std::move(*news);
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

void ConfigSync::noteHeard(Offset applied)
{
    if (applied >= m_state.applied()) {
        m_lastHeard = m_clock();
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
    noteHeard(push->applied);
    if (!push->news.records.empty() && learn(push->news, sender.vm.value()) && m_state.applied() > before) {
        m_events(Event::LearntFromPeer, { { "peer", sender.vm.value() }, { "applied", m_state.applied() } });
    }
    if (push->applied > m_state.applied()) {
        spawn(pullFrom(endpointOf(sender)));
    } else if (push->applied < before) {
        // The sender may hear datagrams although its calls don't get through.
        pushTo(endpointOf(sender), push->applied);
    }
}

Result<std::string> ConfigSync::onPull(const PeerSender &, std::string_view payload)
{
    const auto pull = cerealDecode<ConfigPull>(payload);
    if (!pull) {
        return tl::make_unexpected(pull.error());
    }
    ConfigPullAnswer answer { m_state.applied(), m_phase == ConfigPhase::InForce, {}, {} };
    noteHeard(pull->applied);
    if (answer.ready && pull->applied < answer.applied) {
        if (auto news = m_state.newsSince(pull->applied)) {
            answer.news = std::move(*news);
        } else {
            m_state.read([&](const ConfigTable &table) {
                answer.snapshot = table.snapshot();
            });
        }
    }
    return cerealEncode(answer);
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
    if (m_repairing) {
        co_return;
    }
    m_repairing = true;
    const auto payload = co_await m_peers.pull(peer, cerealEncode(ConfigPull { m_state.applied() }));
    m_repairing = false;
    m_peersTried = true;
    const auto answer = payload ? cerealDecode<ConfigPullAnswer>(*payload) : tl::make_unexpected(payload.error());
    if (!answer || !answer->ready) {
        co_return;
    }
    const Offset before = m_state.applied();
    noteHeard(answer->applied);
    if (!answer->snapshot.empty()) {
        auto table = ConfigTable::fromSnapshot(answer->snapshot);
        if (table) {
            load(std::move(*table), toString(peer));
        }
    } else {
        learn(answer->news, toString(peer));
    }
    if (m_state.applied() > before) {
        m_events(Event::LearntFromPeer, { { "peer", toString(peer) }, { "applied", m_state.applied() } });
    }
    if (answer->applied > 0 && m_state.applied() >= answer->applied) {
        enterForce("");
    }
    if (answer->applied == 0 && m_newest == 0) {
        enterForce("empty, as at " + toString(peer));
    }
}

} // namespace mulberryplank
