// How a gateway finds the others.
#include "gatewayprocess.h"

#include <array>
#include <stdexcept>

#include <boost/asio/use_awaitable.hpp>
#include <openssl/rand.h>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/sleep.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

// Until a gateway that has met no other one goes on without: its seeds may all be gone, or start at the same moment.
constexpr Duration JoinLimit = Seconds(1);
// When a whole fleet starts for the first time, all join through the one that made the key, and there are no callers
// yet: they come one after the other, and nobody reads the store before most are known, else each would do so.
constexpr Duration FirstJoinSpread = Seconds(1);
constexpr Duration FirstJoinLimit = Seconds(3);
constexpr std::size_t KeySize = 32; // bytes

std::string randomKey()
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::array<unsigned char, KeySize> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("no random numbers to be had");
    }
    std::string key;
    for (const unsigned char byte : bytes) {
        key += { Digits[byte >> 4U], Digits[byte & 15U] };
    }
    return key;
}

} // namespace

} // namespace internal

asio::awaitable<void> GatewayProcess::joinFleetAndStart()
{
    FleetRegistrySettings settings;
    settings.self = ownSeed();
    settings.firstStart = m_settings.firstStart;
    const std::function<double()> spread = [this] {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    };
    const std::function<std::string()> makeKey = internal::randomKey;
    const KeyedStore store = m_store.keyedStore();
    const FleetBootstrap entry = co_await joinFleet(m_worker.context, store, settings, makeKey, spread);
    m_seedsNamed = entry.seeds.size();
    // One that is restarted soon after the first start may be told of that still.
    m_startsFirst = m_settings.firstStart && m_seedsNamed <= 1;
    if (m_startsFirst) {
        co_await sleepFor(m_worker.context, std::chrono::duration_cast<Duration>(internal::FirstJoinSpread * spread()));
    }
    startPeers(entry);
    co_await sleepFor(m_worker.context, m_startsFirst ? internal::FirstJoinLimit : internal::JoinLimit);
    beginNews();
}

// Follows the configuration and the targets from now on. Before others are known every start would read all of it from
// the store, which a fleet that starts at once can't bear.
void GatewayProcess::beginNews()
{
    if (m_newsBegun) {
        return;
    }
    m_newsBegun = true;
    followMembers();
    m_events(Event::FleetJoined,
             { { "vm", m_settings.vm.value() },
               { "seeds", m_seedsNamed },
               { "members", members().size() },
               { "duration_ms", std::chrono::duration_cast<Millis>(Clock::now() - m_startedAt).count() } });
    m_news->start();
}

FleetSeed GatewayProcess::ownSeed() const
{
    return { m_settings.vm, m_settings.peer, m_settings.failureDomain };
}

// The seeds of the own failure domain go first: one of them reads the store for this gateway.
GatewayProcess::Seeds GatewayProcess::otherSeeds(const std::vector<FleetSeed> &seeds) const
{
    Seeds others;
    for (const FleetSeed &seed : seeds) {
        const bool near = seed.failureDomain == m_settings.failureDomain;
        if (seed.peer != m_settings.peer) {
            others.peers.insert(near ? others.peers.begin() : others.peers.end(), seed.peer);
            others.near += near ? 1 : 0;
        }
    }
    return others;
}

void GatewayProcess::startPeers(const FleetBootstrap &entry)
{
    PeerTransportSettings transport;
    transport.listen = m_settings.peer;
    transport.vm = m_settings.vm;
    transport.incarnation = m_incarnation;
    transport.fleetKeys = { entry.key };
    m_peers = std::make_unique<PeerTransport>(m_worker.context, std::move(transport), m_events);
    m_peers->onCall(PeerKind::NewsQuery,
                    [this](const PeerSender &sender, std::string_view payload) -> Result<std::string> {
                        const Result<PeerUpdateRequest> request = decodePeerUpdateRequest(payload);
                        if (!request) {
                            notePeerUnreadable(sender, request.error());
                            return tl::make_unexpected(request.error());
                        }
                        return encode(m_news->respondToPeer(*request));
                    });
    takeDatagrams();
    const Seeds seeds = otherSeeds(entry.seeds);
    startMembers(seeds);
    m_peers->start();
    m_members->start();
    keepSeeds(entry.seeds);
    if (seeds.peers.empty() && !m_startsFirst) {
        beginNews();
    }
}

void GatewayProcess::takeDatagrams()
{
    const auto onDatagram = [this](PeerKind kind, auto decode, auto take) {
        m_peers->onDatagram(kind, [this, decode, take](const PeerSender &sender, std::string_view payload) {
            const auto message = decode(payload);
            if (message) {
                take(sender, *message);
            } else {
                notePeerUnreadable(sender, message.error());
            }
        });
    };
    onDatagram(PeerKind::AttemptReports, decodeAttemptReports, [this](const PeerSender &, const auto &reports) {
        takeReports(reports);
    });
    onDatagram(PeerKind::BudgetQuestion, decodeBudgetMessage, [this](const PeerSender &sender, const auto &message) {
        lendBudget(sender, message);
    });
    onDatagram(PeerKind::BudgetLoan, decodeBudgetMessage, [this](const PeerSender &, const auto &message) {
        borrowBudget(message);
    });
    onDatagram(PeerKind::NewsChanged, decodeUpdateHint, [this](const PeerSender &, const UpdateHint &hint) {
        m_news->noteRemoteUpdate(hint.version);
    });
}

void GatewayProcess::startMembers(const Seeds &seeds)
{
    MemberServiceSettings settings;
    settings.membership.seeds = seeds.peers;
    settings.membership.preferredSeeds = seeds.near;
    settings.met = [this] {
        if (!m_startsFirst) {
            beginNews();
        }
    };
    m_members = std::make_unique<MemberService>(
        m_worker.context,
        *m_peers,
        self(),
        settings,
        m_incarnation,
        [this] {
            return MemberService::OwnState { versionInForce(), isReady() };
        },
        m_events);
}

void GatewayProcess::keepSeeds(std::vector<FleetSeed> seeds)
{
    SeedPublisherHooks hooks;
    hooks.members = [this] {
        return members();
    };
    hooks.seedsFound = [this](const std::vector<FleetSeed> &found) {
        const Seeds others = otherSeeds(found);
        m_members->setSeeds(others.peers, others.near);
    };
    m_seeds = std::make_unique<SeedPublisher>(m_worker.context,
                                              m_store.keyedStore(),
                                              ownSeed(),
                                              m_incarnation,
                                              SeedPublisherSettings {},
                                              std::move(hooks),
                                              m_events);
    m_seeds->start(std::move(seeds));
}

} // namespace mulberryplank
