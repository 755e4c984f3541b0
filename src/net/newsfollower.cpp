// The configuration; newsfollowertargets.cpp has the targets, newsfollowerpeers.cpp what processes tell each other.
#include "mulberryplank/net/newsfollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/pause.h"
#include "newsfollowerprivate.h"

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

NewsFollower::NewsFollower(asio::io_context &context,
                           KeyedStore store,
                           NewsSettings settings,
                           NewsHooks hooks,
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

void NewsFollower::start()
{
    asio::co_spawn(m_context, followConfiguration(), asio::detached);
    asio::co_spawn(m_context, followTargets(), asio::detached);
}

RouteTablePtr NewsFollower::routes() const
{
    return m_routes;
}

const TargetDirectory &NewsFollower::directory() const
{
    return m_directory;
}

std::optional<Instant> NewsFollower::targetsReadAt() const
{
    return m_targetsKnown ? std::optional(m_targetsReadAt) : std::nullopt;
}

bool NewsFollower::storeAnswers() const
{
    return m_storeFailures < internal::FailuresOfOutage;
}

// Makes a read of the store, which has not begun yet, if it may be tried now.
asio::awaitable<Result<void>> NewsFollower::fromStore(KeyedTopic topic, asio::awaitable<Result<void>> read)
{
    const std::size_t sharing = m_hooks.hasReader() ? m_hooks.followersNear() : 0;
    if (!m_storeRetry.mayTry(Clock::now(), sharing)) {
        co_return failure(ErrorKind::PlatformUnavailable, "store: not tried again yet");
    }
    const Instant begun = Clock::now();
    const Result<void> result = co_await std::move(read);
    if (!result) {
        noteFailure(topic, internal::FromStore, begun, result.error());
    }
    noteStore(result, topic);
    co_return result;
}

// A read that fails once changes nothing that is logged elsewhere, and one after the other may fail in the same way.
void NewsFollower::noteFailure(KeyedTopic topic, std::string_view source, Instant begun, const Error &error)
{
    const Instant now = Clock::now();
    const std::optional<std::uint64_t> unlogged = m_failures.pass(now);
    if (unlogged) {
        m_events(Event::NewsReadFailed,
                 { { "stream", std::string(toString(topic)) },
                   { "source", std::string(source) },
                   { "duration_ms", std::chrono::duration_cast<Millis>(now - begun).count() },
                   { "unlogged_before", *unlogged },
                   { "detail", error.detail } });
    }
}

void NewsFollower::noteStore(const Result<void> &result, KeyedTopic topic)
{
    const bool answeredBefore = storeAnswers();
    const Instant now = Clock::now();
    if (!result) {
        ++m_storeFailures;
        m_storeDisturbedAt = now;
        m_storeRetry.onFailure(now);
    } else if (m_storeFailures > 0) {
        m_storeRetry.reset();
        if (!answeredBefore) {
            m_directory.storeReturned(now);
        }
        m_storeFailures = 0;
    }
    if (answeredBefore != storeAnswers()) {
        const bool hinted = now - m_hintedAt < m_settings.hintLasts;
        m_hooks.storeChanged(storeAnswers() && m_readerIsBlind && !hinted);
        m_events(storeAnswers() ? Event::PlatformBack : Event::PlatformDown,
                 { { "stream", std::string(toString(topic)) }, { "detail", result ? "" : result.error().detail } });
    }
}

void NewsFollower::takeConfiguration(const std::string &bytes, std::string_view source)
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

asio::awaitable<Result<void>> NewsFollower::readNewestConfiguration()
{
    Result<KeyedSnapshot> snapshot = co_await m_store.newest(KeyedTopic::Configuration);
    if (!snapshot) {
        co_return tl::make_unexpected(snapshot.error());
    }
    for (const KeyedRecord &record : snapshot->records) {
        if (record.key == m_hooks.configurationKey) {
            takeConfiguration(*record.value, internal::FromStore);
        }
    }
    // A stale answer ends earlier than what was read before; following from there would only read it again.
    m_configurationNext = std::max(m_configurationNext, snapshot->next);
    m_configurationKnown = true;
    co_return Result<void> {};
}

// Reads the newest configuration from the store unless it came from elsewhere while another such read was waited for.
// Other processes are asked beside it: a whole configuration may take the store seconds, and what others have is small.
asio::awaitable<Result<void>> NewsFollower::readNewestInTurn()
{
    const std::uint64_t before = versionInForce();
    co_await m_newestRead.take();
    Result<void> read;
    if (versionInForce() == before) {
        read = co_await fromStore(KeyedTopic::Configuration, readNewestConfiguration());
    }
    m_newestRead.release();
    co_return read;
}

// Reads what is new, and waits for it if there is nothing.
asio::awaitable<Result<void>> NewsFollower::readNextConfigurations()
{
    const Offset from = m_configurationNext;
    Result<KeyedPage> page = co_await m_store.read(KeyedTopic::Configuration, from, m_settings.configurationWait);
    if (!page) {
        co_return tl::make_unexpected(page.error());
    }
    if (page->historyGone) {
        m_configurationKnown = false;
        co_return Result<void> {};
    }
    for (const KeyedRecord &record : page->records) {
        if (record.key == m_hooks.configurationKey && record.value) {
            takeConfiguration(*record.value, internal::FromStore);
        }
    }
    m_configurationNext = std::max(m_configurationNext, page->next);
    co_return Result<void> {};
}

asio::awaitable<Result<void>> NewsFollower::readConfigurationFromStore()
{
    if (!m_configurationKnown) {
        co_return co_await readNewestInTurn();
    }
    co_return co_await fromStore(KeyedTopic::Configuration, readNextConfigurations());
}

bool NewsFollower::isBehind() const
{
    return m_versionElsewhere > std::max(versionInForce(), m_unreadableVersion);
}

std::uint64_t NewsFollower::versionInForce() const
{
    return m_routes ? m_routes->version : 0;
}

// Asks for one piece after the other until nothing newer is left, or a whole one can't be used. A piece that doesn't
// come ends it; those that have come are kept. One transfer at a time: several would share a narrow link, so that each
// takes longer than it is waited for.
asio::awaitable<Result<PeerNews>> NewsFollower::fetchConfiguration(const Ask &ask, std::string_view source)
{
    co_await m_peerTransfer.take();
    Result<PeerNews> news = failure(ErrorKind::PeerLost, "not asked");
    bool goesOn = true;
    while (goesOn) {
        const PiecePosition before = m_transfer.next();
        const std::uint64_t versionBefore = versionInForce();
        news = co_await askFor(KeyedTopic::Configuration, ask, source, configurationRequest());
        if (news) {
            takePeerNews(*news);
        } else {
            m_transfer.onSourceFailed();
        }
        const PiecePosition after = m_transfer.next();
        const bool hasPiece = after.version != 0 && (after.version != before.version || after.begin != before.begin);
        goesOn = news && (hasPiece || versionInForce() != versionBefore);
    }
    m_peerTransfer.release();
    co_return news;
}

// Waits until another process has a newer version. Now and then this one asks without being told, since hints can be
// lost.
asio::awaitable<void> NewsFollower::awaitNewVersion()
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
asio::awaitable<Result<void>> NewsFollower::readConfiguration()
{
    if (m_hooks.hasReader() && !m_hooks.readsConfiguration()) {
        if (!m_readerIsBlind) {
            co_await awaitNewVersion();
        }
        m_hinted = false;
        const Result<PeerNews> news = co_await fetchConfiguration(m_hooks.askReader, internal::FromReader);
        // The store may turn away the readers of all failure domains at once while it serves everybody else: then
        // nobody would learn of a new configuration. So a reader says when it isn't served, and the others read.
        m_readerIsBlind = news && !news->storeAnswers;
        if (isBehind()) {
            co_await fetchConfiguration(m_hooks.askPeer, internal::FromPeer);
        }
        if (news && !m_readerIsBlind) {
            m_configurationKnown = false; // how far the store's records were read says nothing any more
        }
        if (news && !m_readerIsBlind && !isBehind()) {
            co_return Result<void> {};
        }
    }
    co_return co_await readConfigurationFromStore();
}

asio::awaitable<void> NewsFollower::followConfiguration()
{
    while (true) {
        const Result<void> read = co_await readConfiguration();
        if (!read) {
            m_configurationKnown = false; // the newest one next: what came meanwhile may not be kept
            co_await fetchConfiguration(m_hooks.askPeer, internal::FromPeer);
        }
        if (!read || (isBehind() && m_hooks.hasReader())) {
            co_await pauseFor(m_context, m_settings.retryPause);
        }
    }
}

void NewsFollower::noteVersionElsewhere(std::uint64_t version)
{
    m_versionElsewhere = std::max(m_versionElsewhere, version);
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
asio::awaitable<void> NewsFollower::catchUp()
{
    co_await pauseFor(m_context, m_settings.catchUpDelay);
    // Others first: they have it for certain, and a store that this process has not heard from may not answer it.
    if (isBehind() && !m_peerTransfer.isTaken()) {
        co_await fetchConfiguration(m_hooks.askPeer, internal::FromPeer);
    }
    // A newer version that others tell of while the store is read is asked for beside that.
    m_catchingUp = false;
    if (isBehind() && !m_peerTransfer.isTaken() && !m_newestRead.isTaken()) {
        co_await readNewestInTurn();
    }
}

} // namespace mulberryplank
