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

// Until a gateway that has onFirstMember no other one goes on without: its seeds may all be gone, or start at the same
// moment.
constexpr Duration JoinTimeout = Seconds(1);
// When a whole fleet starts for the first time, all join through the one that made the key, and there are no callers
// yet: they come one after the other, and nobody reads the store before most are known, else each would do so.
constexpr Duration FirstJoinJitter = Seconds(1);
constexpr Duration FirstJoinTimeout = Seconds(3);
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
    const std::function<double()> jitter = [this] {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    };
    const std::function<std::string()> createKey = internal::randomKey;
    const KeyedStore store = m_store.access();
    const FleetBootstrap bootstrap = co_await joinFleet(m_worker.context, store, settings, createKey, jitter);
    m_registeredSeeds = bootstrap.seeds.size();
    // One that is restarted soon after the first start may be told of that still.
    m_isFirstStart = m_settings.firstStart && m_registeredSeeds <= 1;
    if (m_isFirstStart) {
        co_await sleepFor(m_worker.context, std::chrono::duration_cast<Duration>(internal::FirstJoinJitter * jitter()));
    }
    startPeers(bootstrap);
    co_await sleepFor(m_worker.context, m_isFirstStart ? internal::FirstJoinTimeout : internal::JoinTimeout);
    startDiscovery();
}

// Follows the configuration and the targets from now on. Before others are known every start would read all of it from
// the store, which a fleet that starts at once can't bear.
void GatewayProcess::startDiscovery()
{
    if (m_discoveryStarted) {
        return;
    }
    m_discoveryStarted = true;
    applyMembers();
    m_events(Event::FleetJoined,
             { { "vm", m_settings.vm.value() },
               { "seeds", m_registeredSeeds },
               { "members", members().size() },
               { "duration_ms", std::chrono::duration_cast<Millis>(Clock::now() - m_startedAt).count() } });
    m_discovery->start();
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
        const bool sameDomain = seed.failureDomain == m_settings.failureDomain;
        if (seed.peer != m_settings.peer) {
            others.peers.insert(sameDomain ? others.peers.begin() : others.peers.end(), seed.peer);
            others.sameDomain += sameDomain ? 1 : 0;
        }
    }
    return others;
}

void GatewayProcess::startPeers(const FleetBootstrap &bootstrap)
{
    PeerTransportSettings transport;
    transport.listen = m_settings.peer;
    transport.vm = m_settings.vm;
    transport.incarnation = m_incarnation;
    transport.fleetKeys = { bootstrap.key };
    m_peers = std::make_unique<PeerTransport>(m_worker.context, std::move(transport), m_events);
    m_peers->onCall(PeerKind::UpdateQuery,
                    [this](const PeerSender &sender, std::string_view payload) -> Result<std::string> {
                        const Result<PeerUpdateRequest> request = decodePeerUpdateRequest(payload);
                        if (!request) {
                            notePeerUnreadable(sender, request.error());
                            return tl::make_unexpected(request.error());
                        }
                        return encode(m_discovery->respondToPeer(*request));
                    });
    registerDatagramHandlers();
    const Seeds seeds = otherSeeds(bootstrap.seeds);
    startMembers(seeds);
    m_peers->start();
    m_members->start();
    startSeedPublisher(bootstrap.seeds);
    if (seeds.peers.empty() && !m_isFirstStart) {
        startDiscovery();
    }
}

void GatewayProcess::registerDatagramHandlers()
{
    const auto onDatagram = [this](PeerKind kind, auto decode, auto handle) {
        m_peers->onDatagram(kind, [this, decode, handle](const PeerSender &sender, std::string_view payload) {
            const auto message = decode(payload);
            if (message) {
                handle(sender, *message);
            } else {
                notePeerUnreadable(sender, message.error());
            }
        });
    };
    onDatagram(PeerKind::AttemptReports, decodeAttemptReports, [this](const PeerSender &, const auto &reports) {
        mergeReports(reports);
    });
    onDatagram(PeerKind::BudgetRequest, decodeBudgetMessage, [this](const PeerSender &sender, const auto &message) {
        lendBudget(sender, message);
    });
    onDatagram(PeerKind::BudgetLoan, decodeBudgetMessage, [this](const PeerSender &, const auto &message) {
        borrowBudget(message);
    });
    onDatagram(PeerKind::UpdateAvailable, decodeUpdateHint, [this](const PeerSender &, const UpdateHint &hint) {
        m_discovery->noteRemoteUpdate(hint.version);
    });
}

void GatewayProcess::startMembers(const Seeds &seeds)
{
    MemberServiceSettings settings;
    settings.membership.seeds = seeds.peers;
    settings.membership.preferredSeeds = seeds.sameDomain;
    settings.onFirstMember = [this] {
        if (!m_isFirstStart) {
            startDiscovery();
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

void GatewayProcess::startSeedPublisher(std::vector<FleetSeed> seeds)
{
    SeedPublisherHooks hooks;
    hooks.members = [this] {
        return members();
    };
    hooks.seedsFound = [this](const std::vector<FleetSeed> &found) {
        const Seeds others = otherSeeds(found);
        m_members->setSeeds(others.peers, others.sameDomain);
    };
    m_seeds = std::make_unique<SeedPublisher>(m_worker.context,
                                              m_store.access(),
                                              ownSeed(),
                                              m_incarnation,
                                              SeedPublisherSettings {},
                                              std::move(hooks),
                                              m_events);
    m_seeds->start(std::move(seeds));
}

} // namespace mulberryplank
