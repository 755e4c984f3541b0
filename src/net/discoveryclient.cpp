// The configuration; newsfollowertargets.cpp has the targets, newsfollowerpeers.cpp what processes tell each other.
#include "mulberryplank/net/discoveryclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "discoveryclientprivate.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/sleep.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

// Returns a number from 0 to 1 that differs between processes.
double phaseOf(Incarnation self)
{
    constexpr Incarnation Steps = 1'024;
    return static_cast<double>(self % Steps) / static_cast<double>(Steps - 1);
}

} // namespace

} // namespace internal

DiscoveryClient::DiscoveryClient(asio::io_context &context,
                                 KeyedStore store,
                                 DiscoverySettings settings,
                                 DiscoveryHooks hooks,
                                 Incarnation self,
                                 EventSink events)
    : m_context(context)
    , m_store(std::move(store))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_self(self)
    , m_events(std::move(events))
    , m_directory(settings.returnGrace)
    , m_storeRetry(settings.storeRetry, internal::phaseOf(self))
    , m_failures(internal::FailureLogInterval)
    , m_nextConfiguration(context)
    , m_nextTargets(context)
    , m_peerTransfer(context)
    , m_newestRead(context)
{
}

void DiscoveryClient::start()
{
    asio::co_spawn(m_context, followConfiguration(), asio::detached);
    asio::co_spawn(m_context, followTargets(), asio::detached);
}

RouteTablePtr DiscoveryClient::routes() const
{
    return m_routes;
}

const TargetDirectory &DiscoveryClient::directory() const
{
    return m_directory;
}

std::optional<Instant> DiscoveryClient::targetsReadAt() const
{
    return m_targetsKnown ? std::optional(m_targetsReadAt) : std::nullopt;
}

bool DiscoveryClient::storeResponds() const
{
    return m_storeFailures < internal::OutageFailures;
}

// Makes a read of the store, which has not startedAt yet, if it may be tried now.
asio::awaitable<Result<void>> DiscoveryClient::runStoreRead(KeyedTopic topic, asio::awaitable<Result<void>> read)
{
    const std::size_t sharing = m_hooks.hasReader() ? m_hooks.followersInDomain() : 0;
    if (!m_storeRetry.mayTry(Clock::now(), sharing)) {
        co_return failure(ErrorKind::PlatformUnavailable, "store: not tried again yet");
    }
    const Instant startedAt = Clock::now();
    const Result<void> result = co_await std::move(read);
    if (!result) {
        noteFailure(topic, internal::FromStore, startedAt, result.error());
    }
    noteStore(result, topic);
    co_return result;
}

// A read that fails once changes nothing that is logged elsewhere, and one after the other may fail in the same way.
void DiscoveryClient::noteFailure(KeyedTopic topic, std::string_view source, Instant startedAt, const Error &error)
{
    const Instant now = Clock::now();
    const std::optional<std::uint64_t> unloggedFailures = m_failures.pass(now);
    if (unloggedFailures) {
        m_events(Event::NewsReadFailed,
                 { { "stream", std::string(toString(topic)) },
                   { "source", std::string(source) },
                   { "duration_ms", std::chrono::duration_cast<Millis>(now - startedAt).count() },
                   { "unlogged_before", *unloggedFailures },
                   { "detail", error.detail } });
    }
}

void DiscoveryClient::noteStore(const Result<void> &result, KeyedTopic topic)
{
    const bool respondedBefore = storeResponds();
    const Instant now = Clock::now();
    if (!result) {
        ++m_storeFailures;
        m_storeFailedAt = now;
        m_storeRetry.onFailure(now);
    } else if (m_storeFailures > 0) {
        m_storeRetry.reset();
        if (!respondedBefore) {
            m_directory.storeReturned(now);
        }
        m_storeFailures = 0;
    }
    if (respondedBefore != storeResponds()) {
        const bool hinted = now - m_hintedAt < m_settings.hintLifetime;
        m_hooks.storeChanged(storeResponds() && m_readerLacksStore && !hinted);
        m_events(storeResponds() ? Event::PlatformBack : Event::PlatformDown,
                 { { "stream", std::string(toString(topic)) }, { "detail", result ? "" : result.error().detail } });
    }
}

void DiscoveryClient::applyConfiguration(const std::string &bytes, std::string_view source)
{
    Result<RouteTable> decoded = m_hooks.decodeRoutes(bytes);
    if (!decoded) {
        // The last good one stays in force.
        noteUnreadable(KeyedTopic::Configuration, decoded.error().detail);
        return;
    }
    if (m_routes && decoded->version <= m_routes->version) {
        return;
    }
    m_offer.replace(bytes, decoded->version);
    m_routes = std::make_shared<const RouteTable>(std::move(*decoded));
    std::size_t routes = 0;
    for (const auto &[host, list] : m_routes->hosts) {
        routes += list.size();
    }
    m_events(Event::RoutesInForce,
             { { "version", m_routes->version },
               { "source", std::string(source) },
               { "routes", routes },
               { "services", m_routes->services.size() } });
    m_hooks.routesChanged(m_routes);
}

asio::awaitable<Result<void>> DiscoveryClient::readNewestConfiguration()
{
    Result<KeyedSnapshot> snapshot = co_await m_store.newest(KeyedTopic::Configuration);
    if (!snapshot) {
        co_return tl::make_unexpected(snapshot.error());
    }
    for (const KeyedRecord &record : snapshot->records) {
        if (record.key == m_hooks.configurationKey) {
            applyConfiguration(*record.value, internal::FromStore);
        }
    }
    // A stale answer ends earlier than what was read before; following from there would only read it again.
    m_configurationNext = std::max(m_configurationNext, snapshot->next);
    m_configurationKnown = true;
    co_return Result<void> {};
}

// Reads the newest configuration from the store unless it came from elsewhere while another such read was waited for.
// Other processes are asked beside it: a whole configuration may lock the store seconds, and what others have is small.
asio::awaitable<Result<void>> DiscoveryClient::readNewestExclusively()
{
    const std::uint64_t before = versionInForce();
    co_await m_newestRead.lock();
    Result<void> read;
    if (versionInForce() == before) {
        read = co_await runStoreRead(KeyedTopic::Configuration, readNewestConfiguration());
    }
    m_newestRead.unlock();
    co_return read;
}

// Reads what is new, and waits for it if there is nothing.
asio::awaitable<Result<void>> DiscoveryClient::readNextConfigurations()
{
    const Offset from = m_configurationNext;
    Result<KeyedPage> page = co_await m_store.read(KeyedTopic::Configuration, from, m_settings.configurationWait);
    if (!page) {
        co_return tl::make_unexpected(page.error());
    }
    if (page->historyExpired) {
        m_configurationKnown = false;
        co_return Result<void> {};
    }
    for (const KeyedRecord &record : page->records) {
        if (record.key == m_hooks.configurationKey && record.value) {
            applyConfiguration(*record.value, internal::FromStore);
        }
    }
    m_configurationNext = std::max(m_configurationNext, page->next);
    co_return Result<void> {};
}

asio::awaitable<Result<void>> DiscoveryClient::readConfigurationFromStore()
{
    if (!m_configurationKnown) {
        co_return co_await readNewestExclusively();
    }
    co_return co_await runStoreRead(KeyedTopic::Configuration, readNextConfigurations());
}

bool DiscoveryClient::isBehind() const
{
    return m_remoteVersion > std::max(versionInForce(), m_unreadableVersion);
}

std::uint64_t DiscoveryClient::versionInForce() const
{
    return m_routes ? m_routes->version : 0;
}

// Asks for one piece after the other until nothing newer is left, or a whole one can't be used. A piece that doesn't
// come ends it; those that have come are kept. One transfer at a time: several would share a narrow link, so that each
// takes longer than it is waited for.
asio::awaitable<Result<PeerUpdate>> DiscoveryClient::fetchConfiguration(const Query &query, std::string_view source)
{
    co_await m_peerTransfer.lock();
    Result<PeerUpdate> update = failure(ErrorKind::PeerLost, "not asked");
    bool progressing = true;
    while (progressing) {
        const PiecePosition before = m_transfer.next();
        const std::uint64_t versionBefore = versionInForce();
        update = co_await runQuery(KeyedTopic::Configuration, query, source, configurationRequest());
        if (update) {
            applyPeerUpdate(*update);
        } else {
            m_transfer.onSourceFailed();
        }
        const PiecePosition after = m_transfer.next();
        const bool hasPiece = after.version != 0 && (after.version != before.version || after.begin != before.begin);
        progressing = update && (hasPiece || versionInForce() != versionBefore);
    }
    m_peerTransfer.unlock();
    co_return update;
}

// Waits until another process has a newer version. Now and then this one asks without being told, since hints can be
// lost.
asio::awaitable<void> DiscoveryClient::awaitNewVersion()
{
    if (isBehind() || m_hinted) {
        co_return;
    }
    m_nextConfiguration.expires_after(m_routes ? m_settings.configurationInterval : m_settings.firstInterval);
    boost::system::error_code ignored;
    co_await m_nextConfiguration.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

// A process that another one of its failure domain reads for asks that one, then those who say that they have what it
// lacks, then the store.
asio::awaitable<Result<void>> DiscoveryClient::readConfiguration()
{
    if (m_hooks.hasReader() && !m_hooks.readsConfiguration()) {
        if (!m_readerLacksStore) {
            co_await awaitNewVersion();
        }
        m_hinted = false;
        const Result<PeerUpdate> update = co_await fetchConfiguration(m_hooks.queryReader, internal::FromReader);
        // The store may turn away the readers of all failure domains at once while it serves everybody else: then
        // nobody would learn of a new configuration. So a reader says when it isn't served, and the others read.
        m_readerLacksStore = update && !update->storeResponds;
        if (isBehind()) {
            co_await fetchConfiguration(m_hooks.queryPeer, internal::FromPeer);
        }
        if (update && !m_readerLacksStore) {
            m_configurationKnown = false; // how far the store's records were read says nothing any more
        }
        if (update && !m_readerLacksStore && !isBehind()) {
            co_return Result<void> {};
        }
    }
    co_return co_await readConfigurationFromStore();
}

asio::awaitable<void> DiscoveryClient::followConfiguration()
{
    while (true) {
        const Result<void> read = co_await readConfiguration();
        if (!read) {
            m_configurationKnown = false; // the newest one next: what came meanwhile may not be kept
            co_await fetchConfiguration(m_hooks.queryPeer, internal::FromPeer);
        }
        if (!read || (isBehind() && m_hooks.hasReader())) {
            co_await sleepFor(m_context, m_settings.retryInterval);
        }
    }
}

void DiscoveryClient::noteRemoteVersion(std::uint64_t version)
{
    m_remoteVersion = std::max(m_remoteVersion, version);
    if (!isBehind()) {
        return;
    }
    m_nextConfiguration.cancel();
    if (m_routes && !m_catchingUp) {
        m_catchingUp = true;
        asio::co_spawn(m_context, catchUp(), asio::detached);
    }
}

// The read that waits for a new configuration may hang on a connection that has gone silent, or the store may turn this
// process away while it serves others. Without this the process would go by an old configuration until its read times
// out.
asio::awaitable<void> DiscoveryClient::catchUp()
{
    co_await sleepFor(m_context, m_settings.catchUpDelay);
    // Others first: they have it for certain, and a store that this process has not heard from may not answer it.
    if (isBehind() && !m_peerTransfer.isLocked()) {
        co_await fetchConfiguration(m_hooks.queryPeer, internal::FromPeer);
    }
    // A newer version that others tell of while the store is read is asked for beside that.
    m_catchingUp = false;
    if (isBehind() && !m_peerTransfer.isLocked() && !m_newestRead.isLocked()) {
        co_await readNewestExclusively();
    }
}

} // namespace mulberryplank
