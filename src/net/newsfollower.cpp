#include "mulberryplank/net/newsfollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mulberryplank
{

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace internal
{

namespace
{

constexpr std::string_view FromStore = "store";
constexpr std::string_view FromPeer = "peer";
// Reads that failed one after the other from which on the store counts as away: a single lost answer must not keep
// targets listed that have gone.
constexpr int FailuresOfOutage = 2;
// A list that is older is read anew before a request goes by it, in so many intervals between reads.
constexpr int MostIntervals = 3;
// For so long after a disturbance of the store late heartbeats say nothing about targets.
constexpr Duration HeartbeatsTellAfter = Seconds(5);
// After a pause of this length the newest records are read instead of all that came meanwhile.
constexpr Duration RereadAfter = Seconds(4);

// How often a request that waits for the list of targets looks whether it is there: about a read's time.
constexpr Duration LookAgain = Millis(5);

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
    , m_nextConfiguration(context)
    , m_nextTargets(context)
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

bool NewsFollower::storeAnswers() const
{
    return m_storeFailures < internal::FailuresOfOutage;
}

asio::awaitable<void> NewsFollower::pause(Duration span)
{
    asio::steady_timer timer(m_context, span);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void NewsFollower::noteStore(const Result<void> &result, KeyedTopic topic)
{
    const bool answeredBefore = storeAnswers();
    const Instant now = Clock::now();
    if (!result) {
        ++m_storeFailures;
        m_storeDisturbedAt = now;
    } else if (m_storeFailures > 0) {
        if (!answeredBefore) {
            m_directory.storeReturned(now);
        }
        m_storeFailures = 0;
    }
    if (answeredBefore != storeAnswers()) {
        m_events(storeAnswers() ? Event::PlatformBack : Event::PlatformDown,
                 { { "stream", std::string(toString(topic)) }, { "detail", result ? "" : result.error().detail } });
    }
}

void NewsFollower::takeConfiguration(const std::string &bytes, std::string_view source)
{
    Result<RouteTable> decoded = m_hooks.decodeRoutes(bytes);
    if (!decoded) {
        // The last good one stays in force.
        m_events(
            Event::RecordUnreadable,
            { { "stream", std::string(toString(KeyedTopic::Configuration)) }, { "detail", decoded.error().detail } });
        return;
    }
    if (m_routes && decoded->version <= m_routes->version) {
        return;
    }
    m_configuration = bytes;
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

asio::awaitable<Result<void>> NewsFollower::readConfigurationFromStore()
{
    if (!m_configurationKnown) {
        co_return co_await readNewestConfiguration();
    }
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

// A process that another one of its failure domain reads for waits until it is told of a new configuration, and asks
// for it; now and then it asks without being told, since hints can be lost. What the members say that they have is the
// last resort: noteVersionElsewhere().
asio::awaitable<Result<void>> NewsFollower::readConfiguration()
{
    if (m_routes && m_hooks.hasReader()) {
        m_nextConfiguration.expires_after(m_settings.configurationInterval);
        boost::system::error_code ignored;
        co_await m_nextConfiguration.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const PeerNewsRequest request = peerRequest();
        const Result<PeerNews> news = co_await m_hooks.askReader(request);
        if (news) {
            takePeerNews(*news);
            m_configurationKnown = false; // how far the store's records were read says nothing any more
            co_return Result<void> {};
        }
    }
    const Result<void> read = co_await readConfigurationFromStore();
    noteStore(read, KeyedTopic::Configuration);
    co_return read;
}

asio::awaitable<void> NewsFollower::followConfiguration()
{
    while (true) {
        const Result<void> read = co_await readConfiguration();
        if (!read) {
            m_configurationKnown = false; // the newest one next: what came meanwhile may not be kept
            co_await askPeer();
            co_await pause(m_settings.retryPause);
        }
    }
}

void NewsFollower::noteVersionElsewhere(std::uint64_t version)
{
    m_versionElsewhere = std::max(m_versionElsewhere, version);
    if (m_catchingUp || !m_routes || m_versionElsewhere <= m_routes->version) {
        return;
    }
    m_catchingUp = true;
    asio::co_spawn(m_context, catchUp(), asio::detached);
}

// The read that waits for a new configuration may hang on a connection that has gone silent, or the store may turn this
// process away while it serves others. Without this the process would go by an old configuration until its read times
// out.
asio::awaitable<void> NewsFollower::catchUp()
{
    co_await pause(m_settings.catchUpDelay);
    if (m_routes->version < m_versionElsewhere) {
        const Result<void> read = co_await readNewestConfiguration();
        if (!read || m_routes->version < m_versionElsewhere) {
            co_await askPeer();
        }
    }
    m_catchingUp = false;
}

bool NewsFollower::followsTargets(Instant now) const
{
    return m_lastNeed != Instant {} && now - m_lastNeed < m_settings.targetsFollowedFor;
}

DataAwaitable<bool> NewsFollower::needTargets()
{
    const Instant now = Clock::now();
    m_lastNeed = now;
    const bool tooOld = !m_targetsKnown || now - m_targetsReadAt > m_settings.targetsInterval * internal::MostIntervals;
    if (tooOld) {
        m_nextTargets.cancel();
        const Instant until = now + m_settings.targetsWait;
        const std::uint64_t before = m_targetReads;
        while (m_targetReads == before && Clock::now() < until) {
            boost::system::error_code ignored;
            DataTimer next(m_context.get_executor(), internal::LookAgain);
            co_await next.async_wait(asio::redirect_error(UseData, ignored));
        }
    }
    co_return m_targetsKnown;
}

bool NewsFollower::takeTarget(const KeyedRecord &record, Instant now)
{
    if (!record.value) {
        return m_directory.remove(TargetName(record.key), now);
    }
    const Result<AnnouncedTarget> target = m_hooks.decodeTarget(record.key, *record.value);
    if (!target) {
        m_events(Event::RecordUnreadable,
                 { { "stream", std::string(toString(KeyedTopic::Targets)) }, { "detail", target.error().detail } });
        return false;
    }
    return m_directory.announce(*target, now);
}

void NewsFollower::afterTargets(bool changed, std::string_view source, Duration age)
{
    const Instant now = Clock::now();
    m_targetsReadAt = now - age;
    ++m_targetReads;
    changed = m_directory.expire(now) || changed;
    if (changed) {
        std::size_t draining = 0;
        for (const auto &[id, listed] : m_directory.targets()) {
            draining += listed.target.draining ? 1 : 0;
        }
        m_events(Event::TargetListChanged,
                 { { "targets", m_directory.targets().size() },
                   { "draining", draining },
                   { "offset", m_targetsNext },
                   { "source", std::string(source) } });
    }
    if (source == internal::FromStore) {
        m_ownVersion += changed ? 1 : 0;
        m_listOwner = m_self;
        m_listVersion = m_ownVersion;
        if (changed) {
            m_hooks.listChanged();
        }
    }
    const bool fresh = source == internal::FromStore && now - m_storeDisturbedAt > internal::HeartbeatsTellAfter;
    m_hooks.targetsRead(m_directory, fresh);
}

asio::awaitable<Result<void>> NewsFollower::readAllTargets()
{
    Result<KeyedSnapshot> snapshot = co_await m_store.newest(KeyedTopic::Targets);
    if (!snapshot) {
        co_return tl::make_unexpected(snapshot.error());
    }
    if (snapshot->next < m_targetsNext) {
        co_return failure(ErrorKind::PlatformUnavailable, "store: a list older than one read before");
    }
    std::vector<AnnouncedTarget> targets;
    for (const KeyedRecord &record : snapshot->records) {
        const Result<AnnouncedTarget> target = m_hooks.decodeTarget(record.key, *record.value);
        if (target) {
            targets.push_back(*target);
        } else {
            m_events(Event::RecordUnreadable,
                     { { "stream", std::string(toString(KeyedTopic::Targets)) }, { "detail", target.error().detail } });
        }
    }
    m_targetsNext = snapshot->next;
    m_targetsKnown = true;
    afterTargets(m_directory.replaceAll(targets, Clock::now()), internal::FromStore, Duration {});
    co_return Result<void> {};
}

// One process of each failure domain reads the targets from the store, and the others have them from it: reads are
// billed, and every process that has requests needs the list. Where that process doesn't answer, the store is asked.
asio::awaitable<Result<void>> NewsFollower::readTargets()
{
    const PeerNewsRequest request = peerRequest();
    const Result<PeerNews> news = co_await m_hooks.askReader(request);
    if (news && takePeerNews(*news)) {
        co_return Result<void> {};
    }
    const Result<void> read = co_await readTargetsFromStore();
    noteStore(read, KeyedTopic::Targets);
    co_return read;
}

asio::awaitable<Result<void>> NewsFollower::readTargetsFromStore()
{
    const Instant now = Clock::now();
    if (!m_targetsKnown || now - m_targetsReadAt > internal::RereadAfter) {
        co_return co_await readAllTargets();
    }
    Result<KeyedPage> page = co_await m_store.read(KeyedTopic::Targets, m_targetsNext, Millis(0));
    if (!page) {
        co_return tl::make_unexpected(page.error());
    }
    if (page->historyGone) {
        co_return co_await readAllTargets();
    }
    bool changed = false;
    for (const KeyedRecord &record : page->records) {
        changed = takeTarget(record, Clock::now()) || changed;
    }
    m_targetsNext = std::max(m_targetsNext, page->next);
    afterTargets(changed, internal::FromStore, Duration {});
    co_return Result<void> {};
}

asio::awaitable<void> NewsFollower::followTargets()
{
    boost::system::error_code ignored;
    while (true) {
        if (!followsTargets(Clock::now())) {
            m_nextTargets.expires_at(Instant::max());
            co_await m_nextTargets.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        const Result<void> read = co_await readTargets();
        if (!read) {
            m_hooks.targetsRead(m_directory, false);
            co_await askPeer();
        }
        m_nextTargets.expires_after(read ? m_settings.targetsInterval : m_settings.retryPause);
        co_await m_nextTargets.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void NewsFollower::noteNewsElsewhere()
{
    m_nextConfiguration.cancel();
    if (m_listOwner != m_self) {
        m_targetsReadAt = {};
        m_nextTargets.cancel();
    }
}

PeerNewsRequest NewsFollower::peerRequest() const
{
    PeerNewsRequest request;
    request.version = m_routes ? m_routes->version : 0;
    request.wantsTargets = followsTargets(Clock::now());
    request.listOwner = m_listOwner;
    request.listVersion = m_listVersion;
    return request;
}

asio::awaitable<bool> NewsFollower::askPeer()
{
    const PeerNewsRequest request = peerRequest();
    const Result<PeerNews> news = co_await m_hooks.askPeer(request);
    co_return news &&takePeerNews(*news);
}

// Returns true if the news hold a list of targets that is up to date.
bool NewsFollower::takePeerNews(const PeerNews &news)
{
    if (!news.configuration.empty()) {
        takeConfiguration(news.configuration, internal::FromPeer);
    }
    if (!news.hasTargets || news.targetsNext < m_targetsNext) {
        return false;
    }
    const Instant now = Clock::now();
    m_targetsNext = news.targetsNext;
    m_targetsKnown = true;
    m_listOwner = news.listOwner;
    m_listVersion = news.listVersion;
    const bool changed = !news.unchanged && m_directory.replaceAll(news.targets, now);
    afterTargets(changed, internal::FromPeer, Millis(news.ageMillis));
    return true;
}

PeerNews NewsFollower::answerPeer(const PeerNewsRequest &request)
{
    PeerNews news;
    if (m_routes && m_routes->version > request.version) {
        news.configuration = m_configuration;
    }
    if (!request.wantsTargets) {
        return news;
    }
    const Instant now = Clock::now();
    // Whoever asks will ask again: what isn't followed here yet is by then.
    if (!followsTargets(now)) {
        m_lastNeed = now;
        m_nextTargets.cancel();
    }
    const Duration age = now - m_targetsReadAt;
    news.hasTargets = m_targetsKnown && age < m_settings.targetsInterval * 2;
    news.ageMillis = std::chrono::duration_cast<Millis>(age).count();
    news.targetsNext = m_targetsNext;
    news.listOwner = m_listOwner;
    news.listVersion = m_listVersion;
    news.unchanged = request.listOwner == m_listOwner && request.listVersion == m_listVersion;
    for (const auto &[id, listed] : m_directory.targets()) {
        if (news.hasTargets && !news.unchanged && !listed.removedAt) {
            news.targets.push_back(listed.target);
        }
    }
    return news;
}

} // namespace mulberryplank
