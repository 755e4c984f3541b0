// How a gateway joins the fleet.
#include "gatewayprocess.h"

#include <array>
#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

// How long a gateway waits for its first other member before it continues alone. All its seeds may have stopped, or may
// be starting at the same moment.
constexpr Duration JoinTimeout = Seconds(1);
// When a whole fleet starts for the first time, all gateways join through the one that created the key, and there are
// no callers yet. The gateways join at random times within the jitter, and none reads the store before the timeout,
// when most members are known: otherwise each gateway would read all of it.
constexpr Duration FirstJoinJitter = Seconds(1);
constexpr Duration FirstJoinTimeout = Seconds(3);
constexpr std::size_t KeySize = 32; // bytes
// How long after the last gateway has probably read another key it signs messages: a gateway may have to try again.
constexpr Duration KeyOverlap = Seconds(2);

std::string randomKey()
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::array<unsigned char, KeySize> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("the random number generator failed");
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
    const KeyedStore store = m_storeHistory.access();
    const FleetBootstrap bootstrap = co_await joinFleet(m_worker.context, store, settings, createKey, jitter);
    m_registeredSeeds = bootstrap.seeds.size();
    // A gateway that is restarted soon after the first start may still have the setting for it.
    m_isFirstStart = m_settings.firstStart && m_registeredSeeds <= 1;
    if (m_isFirstStart) {
        co_await sleepFor(m_worker.context, std::chrono::duration_cast<Duration>(internal::FirstJoinJitter * jitter()));
    }
    startPeers(bootstrap);
    co_await sleepFor(m_worker.context, m_isFirstStart ? internal::FirstJoinTimeout : internal::JoinTimeout);
    startDiscovery();
}

// Starts reading the configuration and the targets. Called once other members are known or the wait for them has ended:
// otherwise each gateway would read everything from the store at its start, which would overload the store when a whole
// fleet starts at once.
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

// Returns the seeds except this process, those of the own failure domain first: one of them reads the store for this
// gateway.
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
    m_fleetKey = bootstrap.key;
    m_gateway.forward.fingerprinter.setKey(m_fleetKey);
    m_poison->load(bootstrap.quarantined);
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
    m_peers->onUpgrade(PeerKind::FramedTunnel, [this](const PeerSender &, std::string payload) {
        return m_tunnels.open(std::move(payload), TunnelFormat::Framed);
    });
    // For gateways of versions before framed tunnels.
    m_peers->onUpgrade(PeerKind::Tunnel, [this](const PeerSender &, std::string payload) {
        return m_tunnels.open(std::move(payload), TunnelFormat::Plain);
    });
    registerDatagramHandlers();
    const Seeds seeds = otherSeeds(bootstrap.seeds);
    startMembers(seeds);
    m_peers->start();
    m_members->start();
    requestQuarantined(seeds);
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
    onDatagram(PeerKind::AllowanceQuery, decodeAllowanceMessage, [this](const PeerSender &sender, const auto &message) {
        lendAllowance(sender, message);
    });
    onDatagram(PeerKind::AllowanceLoan, decodeAllowanceMessage, [this](const PeerSender &, const auto &message) {
        borrowAllowance(message);
    });
    onDatagram(PeerKind::KnowledgeQuery, decodeKnowledgeMessage, [this](const PeerSender &sender, const auto &message) {
        tellKnowledge(sender, message);
    });
    onDatagram(PeerKind::Knowledge, decodeKnowledgeMessage, [this](const PeerSender &, const auto &message) {
        learn(message);
    });
    onDatagram(PeerKind::Crashes, decodeCrashMessage, [this](const PeerSender &, const CrashMessage &message) {
        m_poison->merge(message);
    });
    onDatagram(PeerKind::QuarantinedRequests,
               decodeQuarantinedRequests,
               [this](const PeerSender &sender, const auto &requests) {
                   handleQuarantined(sender, requests);
               });
    onDatagram(PeerKind::RateLimits, decodeRateLimitReports, [this](const PeerSender &, const auto &reports) {
        mergeRateLimits(reports);
    });
    onDatagram(PeerKind::DomainLoad, decodeDomainLoadMessage, [this](const PeerSender &sender, const auto &message) {
        mergeDomainLoads(sender, message);
    });
    onDatagram(PeerKind::TargetNotices, decodeTargetNoticeReport, [this](const PeerSender &, const auto &report) {
        mergeTargetNotice(report);
    });
    onDatagram(PeerKind::UpdateAvailable, decodeUpdateHint, [this](const PeerSender &sender, const UpdateHint &hint) {
        m_announcedVersions.note(sender.incarnation, hint.version, versionInForce());
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
            return MemberService::OwnState { versionInForce(), isSelectable() };
        },
        m_events);
}

void GatewayProcess::startSeedPublisher(std::vector<FleetSeed> seeds)
{
    SeedPublisherHooks hooks;
    hooks.members = [this] {
        return members();
    };
    hooks.isUnresponsive = [this](const Endpoint &seed) {
        return m_members->isUnresponsiveSeed(seed);
    };
    hooks.seedsFound = [this](const std::vector<FleetSeed> &found) {
        const Seeds others = otherSeeds(found);
        m_members->setSeeds(others.peers, others.sameDomain);
    };
    hooks.fleetKey = [this] {
        return m_fleetKey;
    };
    hooks.keyFound = [this](const std::string &key) {
        handleKeyFound(key);
    };
    m_seeds = std::make_unique<SeedPublisher>(m_worker.context,
                                              m_storeHistory.access(),
                                              ownSeed(),
                                              m_incarnation,
                                              SeedPublisherSettings {},
                                              std::move(hooks),
                                              m_events);
    m_seeds->start(std::move(seeds));
}

void GatewayProcess::handleStoreWentBack()
{
    m_poison->storeWentBack();
    if (m_seeds) {
        m_seeds->storeWentBack();
    }
}

// The key in the store is the fleet's: processes that start know no other one. It verifies at once, and signs when all
// gateways have read it.
void GatewayProcess::handleKeyFound(const std::string &key)
{
    m_events(Event::FleetKeyChanged, { { "keys", 2 }, { "detail", "the store lost the key" } });
    m_peers->setFleetKeys({ m_fleetKey, key });
    asio::co_spawn(m_worker.context, signWithFoundKey(key), asio::detached);
}

asio::awaitable<void> GatewayProcess::signWithFoundKey(std::string key)
{
    const SeedPublisherSettings settings;
    const Duration readByAll =
        settings.minCheckTime + settings.checkTimePerMember * static_cast<std::int64_t>(members().size());
    co_await sleepFor(m_worker.context, readByAll + internal::KeyOverlap);
    m_peers->setFleetKeys({ key, m_fleetKey });
    m_fleetKey = std::move(key);
    m_gateway.forward.fingerprinter.setKey(m_fleetKey);
}

} // namespace mulberryplank
