// The configuration part of DiscoveryClient. Targets are in discoveryclienttargets.cpp, and the communication with
// other processes is in discoveryclientpeers.cpp.
#include "mulberryplank/net/discoveryclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "discoveryclientprivate.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/sleep.h"
#include "mulberryplank/net/staggered.h"
#include "mulberryplank/policy/phase.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

// How many other processes are queried for a piece of the configuration while one doesn't respond.
constexpr int OthersQueriedForPiece = 3;

} // namespace

} // namespace internal

DiscoveryClient::DiscoveryClient(asio::io_context &context,
                                 StoreHistory &history,
                                 DiscoverySettings settings,
                                 DiscoveryHooks hooks,
                                 Incarnation self,
                                 EventSink events)
    : m_context(context)
    , m_history(history)
    , m_store(history.access())
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_self(self)
    , m_events(std::move(events))
    , m_configurationSource(internal::NoSource)
    , m_directory(settings.returnGrace)
    , m_storeRetry(settings.storeRetry, phaseOf(self))
    , m_failures(internal::FailureLogInterval)
    , m_behindReports(internal::FailureLogInterval)
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

// Runs `read`, which must not have started yet, unless the store may not be tried again yet.
asio::awaitable<Result<void>> DiscoveryClient::runStoreRead(KeyedTopic topic, asio::awaitable<Result<void>> read)
{
    const std::size_t sharing = m_hooks.hasReader() ? m_hooks.followersInDomain() : 0;
    if (!m_storeRetry.mayTry(Clock::now(), sharing)) {
        co_return failure(ErrorKind::PlatformUnavailable, "store: waiting before the next attempt");
    }
    const Instant startedAt = Clock::now();
    const Result<void> result = co_await std::move(read);
    if (!result) {
        noteFailure(topic, internal::FromStore, startedAt, result.error());
    }
    noteStore(result, topic);
    co_return result;
}

// Logs a failed read with its source: a single failure shows nowhere else in the log. Several may fail in quick
// succession, so they are throttled.
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
        noteReturn(now);
        m_storeFailures = 0;
    }
    if (respondedBefore != storeResponds()) {
        const bool hinted = now - m_hintedAt < m_settings.hintLifetime;
        m_hooks.storeChanged(storeResponds() && m_readerLacksStore && !hinted);
        m_events(storeResponds() ? Event::PlatformBack : Event::PlatformDown,
                 { { "stream", std::string(toString(topic)) }, { "detail", result ? "" : result.error().detail } });
    }
}

// Must be called when the store responds, before its response is applied. Entries expire only in an outage of the store
// itself. While other processes provided lists, the store only rejected this process: what is missing from a list then
// has left, and would otherwise get requests for the whole grace period.
void DiscoveryClient::noteReturn(Instant now)
{
    if (!storeResponds() && m_targetsUnavailable && followsTargets(now)) {
        m_directory.storeReturned(now);
    }
}

void DiscoveryClient::applyConfiguration(const std::string &bytes, const Arrival &arrival)
{
    const Instant arrivedAt = Clock::now();
    Result<RouteTable> decoded = m_hooks.decodeRoutes(bytes);
    if (!decoded) {
        // The last valid one stays in force.
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
               { "source", std::string(arrival.source) },
               { "routes", routes },
               { "services", m_routes->services.size() },
               { "bytes", bytes.size() },
               { "received", arrival.received },
               { "base", arrival.base },
               { "receive_ms", std::chrono::duration_cast<Millis>(arrivedAt - arrival.requestedAt).count() },
               { "decode_ms", std::chrono::duration_cast<Millis>(Clock::now() - arrivedAt).count() } });
    m_hooks.routesChanged(m_routes);
}

asio::awaitable<Result<void>> DiscoveryClient::readNewestConfiguration()
{
    const Instant requestedAt = Clock::now();
    Result<KeyedSnapshot> snapshot = co_await m_store.newest(KeyedTopic::Configuration);
    if (!snapshot) {
        co_return tl::make_unexpected(snapshot.error());
    }
    for (const KeyedRecord &record : snapshot->records) {
        if (record.key == m_hooks.configurationKey) {
            applyConfiguration(*record.value, { internal::FromStore, record.value->size(), 0, requestedAt });
        }
    }
    // A stale response ends earlier than previous reads. Continuing from there would only read the same records again.
    m_configurationNext = std::max(m_configurationNext, snapshot->next);
    m_configurationKnown = true;
    co_return Result<void> {};
}

// Reads the newest configuration from the store, unless a new one arrived from elsewhere while this waited for another
// such read. Other processes are queried concurrently: reading a whole one from the store may need seconds, while other
// processes send it in small pieces.
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

// Reads what is new, and waits for new records if there are none. If there is no response in the whole time, the
// connection may have become unresponsive while the store is well, so that what is new is read over another one at
// once.
asio::awaitable<Result<void>> DiscoveryClient::readNextConfigurations()
{
    const StorePosition from = m_configurationNext;
    const Instant startedAt = Clock::now();
    const bool readsForOthers = m_hooks.readsConfiguration() || !m_hooks.hasReader();
    const Millis wait = readsForOthers ? m_settings.readerConfigurationWait : m_settings.configurationWait;
    Result<KeyedPage> page = co_await m_store.read(KeyedTopic::Configuration, from, wait);
    if (!page && Clock::now() - startedAt >= wait) {
        noteFailure(KeyedTopic::Configuration, internal::FromStore, startedAt, page.error());
        page = co_await m_store.read(KeyedTopic::Configuration, from, Millis(0));
    }
    if (!page) {
        co_return tl::make_unexpected(page.error());
    }
    if (page->historyExpired) {
        m_configurationKnown = false;
        co_return Result<void> {};
    }
    for (const KeyedRecord &record : page->records) {
        if (record.key == m_hooks.configurationKey && record.value) {
            applyConfiguration(*record.value, { internal::FromStore, record.value->size(), 0, startedAt });
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

// Queries `source` for the next piece. While a newer version is known, others are queried as well if that takes long: a
// response that has begun may stop for seconds, in which this process would use an old configuration. Returns the
// update of `source`, or an error if another process responded first or none did.
asio::awaitable<Result<PeerUpdate>> DiscoveryClient::fetchPiece(const Query &query, std::string_view source)
{
    const auto update = std::make_shared<Result<PeerUpdate>>(failure(ErrorKind::PeerLost, "no response in time"));
    const StaggeredStep querySource = [this, query, source, update]() -> asio::awaitable<bool> {
        *update = co_await queryForPiece(query, source);
        co_return update->has_value();
    };
    const StaggeredStep queryOther = [this]() -> asio::awaitable<bool> {
        if (!isBehind()) {
            co_return false;
        }
        const Result<PeerUpdate> other = co_await queryForPiece(m_hooks.queryPeer, internal::FromPeer);
        co_return other.has_value();
    };
    std::vector<StaggeredStep> steps { querySource };
    steps.insert(steps.end(), internal::OthersQueriedForPiece, queryOther);
    m_configurationSource = source;
    co_await runStaggered(m_context, std::move(steps), m_settings.pieceTimeout, m_settings.pieceTimeout);
    m_configurationSource = internal::NoSource;
    co_return *update;
}

// Requests what follows the pieces that have arrived, and applies it.
asio::awaitable<Result<PeerUpdate>> DiscoveryClient::queryForPiece(const Query &query, std::string_view source)
{
    const Instant requestedAt = Clock::now();
    m_transferStartedAt = m_transfer.next().version == 0 ? requestedAt : m_transferStartedAt;
    Result<PeerUpdate> update = co_await runQuery(KeyedTopic::Configuration, query, source, configurationRequest());
    if (update) {
        applyPeerUpdate(*update, requestedAt);
    } else {
        m_transfer.onSourceFailed();
    }
    co_return update;
}

// Fetches one piece after the other until nothing newer is left, or a complete configuration can't be used. A piece
// that doesn't arrive ends the transfer; those that have arrived are kept. Only one transfer runs at a time: several
// would share a narrow link, and each would exceed its timeout. Once `query` has not led to a response in time, other
// processes provide the rest.
asio::awaitable<Result<PeerUpdate>> DiscoveryClient::fetchConfiguration(const Query &query, std::string_view source)
{
    co_await m_peerTransfer.lock();
    Result<PeerUpdate> update = failure(ErrorKind::PeerLost, "not queried");
    bool sourceResponds = true;
    bool progressing = true;
    while (progressing) {
        const PiecePosition before = m_transfer.next();
        const std::uint64_t versionBefore = versionInForce();
        update = co_await fetchPiece(sourceResponds ? query : m_hooks.queryPeer,
                                     sourceResponds ? source : internal::FromPeer);
        sourceResponds = sourceResponds && update;
        const PiecePosition after = m_transfer.next();
        const bool hasPiece = after.version != 0 && (after.version != before.version || after.begin != before.begin);
        progressing = hasPiece || versionInForce() != versionBefore;
    }
    m_peerTransfer.unlock();
    co_return sourceResponds ? update : failure(ErrorKind::PeerLost, "no response in time");
}

// Waits until another process has a newer version. Returns after an interval even without a hint, since hints can be
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

// Queries other processes: first those that report a newer version, as the designated reader may get it later than
// another process that reads the store, then the designated reader. Returns whether the store needn't be read: the
// whole configuration would fill a narrow link for a second, so a version that no process had is awaited for a moment.
asio::awaitable<bool> DiscoveryClient::fetchConfigurationFromOthers()
{
    const std::uint64_t before = versionInForce();
    if (isBehind()) {
        co_await fetchConfiguration(m_hooks.queryPeer, internal::FromPeer);
    }
    if (versionInForce() != before && !isBehind() && !m_readerLacksStore) {
        co_return true;
    }
    const Result<PeerUpdate> update = co_await fetchConfiguration(m_hooks.queryReader, internal::FromReader);
    // The store may reject the readers of all failure domains at once while it serves all other processes. Then no
    // process would learn of a new configuration. So a reader reports that it isn't served, and the other processes
    // read the store themselves.
    m_readerLacksStore = update && !update->storeResponds;
    if (!update || m_readerLacksStore) {
        co_return false;
    }
    const bool readerLacksVersion = update->version < m_remoteVersion;
    co_return !isBehind() || (readerLacksVersion && behindFor(Clock::now()) < m_settings.retryInterval);
}

// Returns whether another process reads the configuration from the store for this one.
bool DiscoveryClient::followsReader() const
{
    return m_hooks.hasReader() && !m_hooks.readsConfiguration();
}

// A process that becomes a reader reads at once. Otherwise no process would read the store, until the wait for a hint
// ends, once all processes that read it have left.
void DiscoveryClient::noteReaders()
{
    if (!followsReader()) {
        m_nextConfiguration.cancel();
    }
}

asio::awaitable<Result<void>> DiscoveryClient::readConfiguration()
{
    if (followsReader() && !m_readerLacksStore) {
        co_await awaitNewVersion();
    }
    if (followsReader()) {
        m_hinted = false;
        const bool hasNewest = co_await fetchConfigurationFromOthers();
        if (hasNewest) {
            m_configurationKnown = false; // the position of earlier store reads is outdated
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
            m_configurationKnown = false; // read the newest one next: records written since may no longer be kept
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
    noteBehind();
    if (!isBehind()) {
        return;
    }
    m_nextConfiguration.cancel();
    if (m_routes && !m_catchingUp) {
        m_catchingUp = true;
        asio::co_spawn(m_context, catchUp(), asio::detached);
    }
}

// Returns for how long a newer version has been known while the one in force didn't change.
Duration DiscoveryClient::behindFor(Instant now) const
{
    return m_behindSince ? now - *m_behindSince : Duration {};
}

// Logs that a newer version has been known for some time and is not in force. Each report of another process leads
// here.
void DiscoveryClient::noteBehind()
{
    const Instant now = Clock::now();
    if (!isBehind()) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince || m_behindVersion != versionInForce()) {
        m_behindSince = now;
        m_behindVersion = versionInForce();
    }
    if (behindFor(now) >= m_settings.behindReportDelay && m_behindReports.pass(now)) {
        m_events(Event::ConfigurationBehind,
                 { { "version", versionInForce() },
                   { "newest", m_remoteVersion },
                   { "duration_ms", std::chrono::duration_cast<Millis>(behindFor(now)).count() },
                   { "source", std::string(m_configurationSource) } });
    }
}

// The read that waits for a new configuration may hang on an unresponsive connection, or the store may reject this
// process while it serves others. Without this the process would use an old configuration until its read times out.
asio::awaitable<void> DiscoveryClient::catchUp()
{
    co_await sleepFor(m_context, m_settings.catchUpDelay);
    // Other processes first: they certainly have it, and a store that hasn't sent it may not respond to this process.
    if (isBehind() && !m_peerTransfer.isLocked()) {
        co_await fetchConfiguration(m_hooks.queryPeer, internal::FromPeer);
    }
    // A process that was queried may get the version in a moment.
    if (isBehind() && behindFor(Clock::now()) < m_settings.retryInterval) {
        co_await sleepFor(m_context, m_settings.retryInterval - behindFor(Clock::now()));
    }
    // A newer version that is reported while the store is read is fetched concurrently.
    m_catchingUp = false;
    if (isBehind() && !m_peerTransfer.isLocked() && !m_newestRead.isLocked()) {
        co_await readNewestExclusively();
    }
}

} // namespace mulberryplank
