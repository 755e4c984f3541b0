#include "mulberryplank/net/discoveryclient.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "discoveryclientprivate.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/sleep.h"
#include "mulberryplank/net/staggered.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

// For this long after a failure of the store, late heartbeats don't count against targets.
constexpr Duration HeartbeatsTrustedAfter = Seconds(5);

// After an interval of this length the newest records are read instead of all records written during the interval.
constexpr Duration RereadAfter = Seconds(4);

// How many other processes are queried for a list, one after the other, before the store is read.
constexpr int PeersQueriedForList = 3;

// The designated reader and these.
constexpr int SourcesBeforeStore = 1 + PeersQueriedForList;

// How often a waiting request checks its condition: about the time of one read.
constexpr Duration PollInterval = Millis(5);

} // namespace

} // namespace internal

bool DiscoveryClient::followsTargets(Instant now) const
{
    return m_lastNeededAt != Instant {} && now - m_lastNeededAt < m_settings.targetsFollowedFor;
}

// Lets a request wait until `done` returns true, but not beyond `limit`.
DataAwaitable<void> DiscoveryClient::waitUntil(std::function<bool()> done, Instant limit)
{
    while (!done() && Clock::now() < limit) {
        boost::system::error_code ignored;
        DataTimer next(m_context.get_executor(), internal::PollInterval);
        co_await next.async_wait(asio::redirect_error(UseData, ignored));
    }
}

DataAwaitable<void> DiscoveryClient::awaitRoutes()
{
    const std::function<bool()> known = [this] {
        return m_routes != nullptr;
    };
    co_await waitUntil(known, m_createdAt + m_settings.routesWait);
}

DataAwaitable<bool> DiscoveryClient::ensureTargets()
{
    const Instant now = Clock::now();
    const bool tooOld = !m_targetsKnown || m_targetsChanged || now - m_targetsReadAt > m_settings.maxTargetsAge;
    const bool isUnavailable = m_targetsKnown && m_targetsUnavailable && followsTargets(now);
    m_lastNeededAt = now;
    if (tooOld) {
        m_nextTargets.cancel();
    }
    // While no process has a newer list, waiting for one would only delay each request.
    if (tooOld && !isUnavailable) {
        const std::function<bool()> wasRead = [this, before = m_targetReads] {
            return m_targetReads != before;
        };
        co_await waitUntil(wasRead, now + m_settings.targetsWait);
    }
    co_return m_targetsKnown;
}

// Any client of the store may have written the record. An unreadable record removes the target of its key, whatever the
// previous record of that key contained.
bool DiscoveryClient::applyTarget(const KeyedRecord &record, Instant now)
{
    const std::optional<AnnouncedTarget> target = parseTarget(record);
    return target ? m_directory.announce(*target, now) : m_directory.remove(TargetName(record.key), now);
}

// Returns nothing for a removal and for an unreadable record.
std::optional<AnnouncedTarget> DiscoveryClient::parseTarget(const KeyedRecord &record)
{
    if (!record.value) {
        return std::nullopt;
    }
    const Result<AnnouncedTarget> target = m_hooks.decodeTarget(record.key, *record.value);
    if (!target) {
        noteUnreadable(KeyedTopic::Targets, target.error().detail);
        return std::nullopt;
    }
    return *target;
}

void DiscoveryClient::noteUnreadable(KeyedTopic topic, const std::string &detail)
{
    m_events(Event::RecordUnreadable, { { "stream", std::string(toString(topic)) }, { "detail", detail } });
}

void DiscoveryClient::noteRecordsWithoutKey(KeyedTopic topic, std::size_t records)
{
    if (records > 0) {
        noteUnreadable(topic, std::to_string(records) + " records without a key");
    }
}

// `readAt`: when the store had these entries at the latest. That is the time of the request and not of the response: a
// response may be delayed, or wait here while this process is paused, and what happened meanwhile is not in it.
void DiscoveryClient::finishTargetUpdate(bool changed, std::string_view source, Instant readAt, bool upToDate)
{
    const Instant now = Clock::now();
    m_targetsReadAt = readAt;
    if (upToDate) {
        m_targetsChanged = false;
        ++m_targetReads;
    }
    changed = m_directory.expire(now) || changed;
    if (changed) {
        std::size_t draining = 0;
        for (const auto &[id, listed] : m_directory.targets()) {
            draining += listed.target.draining ? 1 : 0;
        }
        m_events(Event::TargetListChanged,
                 { { "targets", m_directory.targets().size() },
                   { "draining", draining },
                   { "offset", m_targetsNext.offset },
                   { "source", std::string(source) } });
    }
    if (source == internal::FromStore) {
        m_listOwner = m_self;
        m_listVersion = m_directory.changes();
        if (changed) {
            m_hooks.listChanged();
        }
    }
    const bool fresh = source == internal::FromStore && now - m_storeFailedAt > internal::HeartbeatsTrustedAfter;
    m_hooks.targetsRead(m_directory, fresh);
}

// Must be called before a list of this era is applied. Where the store came back from an older copy, targets that
// announced themselves since that copy are missing from its own list until they have announced themselves again. The
// lists of other processes include them.
void DiscoveryClient::noteEraOfList(StoreEra era, std::string_view source)
{
    const std::optional<Instant> since = m_history.eraKnownSince();
    if (!m_targetsKnown || era <= m_targetsNext.era || !since) {
        return;
    }
    m_directory.storeWentBack(*since);
    if (source == internal::FromStore) {
        m_directory.storeReturned(*since);
    }
}

asio::awaitable<Result<void>> DiscoveryClient::readAllTargets()
{
    const StorePosition before = m_targetsNext;
    const Instant requestedAt = Clock::now();
    Result<KeyedSnapshot> snapshot = co_await m_store.newest(KeyedTopic::Targets);
    if (!snapshot) {
        co_return tl::make_unexpected(snapshot.error());
    }
    if (snapshot->next < before) {
        co_return failure(ErrorKind::PlatformUnavailable, "store: returned a list older than one read before");
    }
    if (snapshot->next < m_targetsNext) {
        co_return Result<void> {}; // a newer list has arrived from another source during the read
    }
    noteReturn(Clock::now());
    std::vector<AnnouncedTarget> targets;
    for (const KeyedRecord &record : snapshot->records) {
        const std::optional<AnnouncedTarget> target = parseTarget(record);
        if (target) {
            targets.push_back(*target);
        }
    }
    noteRecordsWithoutKey(KeyedTopic::Targets, snapshot->unreadable);
    noteEraOfList(snapshot->next.era, internal::FromStore);
    m_targetsNext = snapshot->next;
    m_targetsKnown = true;
    finishTargetUpdate(m_directory.replaceAll(targets, Clock::now()), internal::FromStore, requestedAt, true);
    co_return Result<void> {};
}

// Fetches the list from another process. Returns true if that list is up to date and was applied. A process without a
// list starts to read one when it is queried, so it is queried again, up to `maxTries` times. Otherwise, after a
// restart of the whole fleet, every process would read the list from the store, whose load would grow with the square
// of the fleet's size. A process with an old list isn't queried again: it may be waiting for an unresponsive store, and
// waiting for it would keep targets in use that have left.
asio::awaitable<bool> DiscoveryClient::fetchTargetsFrom(const Query &query, std::string_view source, int maxTries)
{
    for (int tries = 0; tries < maxTries; ++tries) {
        const Instant requestedAt = Clock::now();
        const Result<PeerUpdate> update = co_await runQuery(KeyedTopic::Targets, query, source, targetsRequest());
        if (!update || applyPeerUpdate(*update, requestedAt)) {
            co_return update.has_value();
        }
        if (!readsFirstList(*update)) {
            co_return false;
        }
        co_await sleepFor(m_context, m_settings.listInterval);
    }
    co_return false;
}

// Reads the list from the store, unless such a read is in progress. Returns whether it was read.
asio::awaitable<bool> DiscoveryClient::fetchTargetsFromStore()
{
    if (m_readsTargets) {
        co_return false;
    }
    m_readsTargets = true;
    const Result<void> read = co_await runStoreRead(KeyedTopic::Targets, readTargetsFromStore());
    m_readsTargets = false;
    if (!read) {
        m_hooks.targetsRead(m_directory, false);
    }
    co_return read.has_value();
}

// Returns after which time without a response the next source is queried as well. All sources before the store together
// get no longer than the list remains usable, and one that is too old already is requested from all sources at once: a
// store that has returned may be unavailable again soon. Only a process that follows the list has one that should be
// recent; after an idle period every process would call the store.
Duration DiscoveryClient::sourceTimeout(Instant now) const
{
    if (!m_targetsKnown || now - m_followedSince < m_settings.maxTargetsAge) {
        return m_settings.listTimeout;
    }
    const Duration left = m_targetsReadAt + m_settings.maxTargetsAge - now;
    return std::clamp(left / internal::SourcesBeforeStore, Duration {}, m_settings.listTimeout);
}

// Gets an up-to-date list. One process of each failure domain reads the targets from the store and the others fetch
// them from it, because reads are billed and every process that has requests needs the list. If that process can't
// provide it, several other processes are queried, which may not be served either, and then the store. Returns whether
// an up-to-date list was applied.
asio::awaitable<bool> DiscoveryClient::renewTargets()
{
    const StaggeredStep queryReader = [this] {
        return fetchTargetsFrom(m_hooks.queryReader, internal::FromReader, m_settings.listTries);
    };
    const StaggeredStep queryPeer = [this] {
        return fetchTargetsFrom(m_hooks.queryPeer, internal::FromPeer, 1);
    };
    const StaggeredStep readStore = [this] {
        return fetchTargetsFromStore();
    };
    const bool hasReader = m_hooks.hasReader();
    std::vector<StaggeredStep> steps;
    if (hasReader) {
        steps.push_back(queryReader);
    }
    // A store that didn't respond to the last read may take its whole timeout again.
    if (hasReader || m_storeFailures > 0) {
        steps.insert(steps.end(), internal::PeersQueriedForList, queryPeer);
    }
    steps.push_back(readStore);
    steps.insert(steps.end(), internal::PeersQueriedForList, queryPeer);
    co_return co_await runStaggered(
        m_context, std::move(steps), sourceTimeout(Clock::now()), m_settings.lastListTimeout);
}

asio::awaitable<Result<void>> DiscoveryClient::readTargetsFromStore()
{
    const Instant requestedAt = Clock::now();
    if (!m_targetsKnown || requestedAt - m_targetsReadAt > internal::RereadAfter) {
        co_return co_await readAllTargets();
    }
    Result<KeyedPage> page = co_await m_store.read(KeyedTopic::Targets, m_targetsNext, Millis(0));
    if (!page) {
        co_return tl::make_unexpected(page.error());
    }
    if (page->historyExpired) {
        co_return co_await readAllTargets();
    }
    if (page->next < m_targetsNext) {
        co_return Result<void> {}; // a newer list has arrived from another source during the read
    }
    noteReturn(Clock::now());
    bool changed = false;
    for (const KeyedRecord &record : page->records) {
        changed = applyTarget(record, Clock::now()) || changed;
    }
    noteRecordsWithoutKey(KeyedTopic::Targets, page->unreadable);
    m_targetsNext = std::max(m_targetsNext, page->next);
    finishTargetUpdate(changed, internal::FromStore, requestedAt, true);
    co_return Result<void> {};
}

// Returns the delay until the next list is needed. A list may be old on arrival.
Duration DiscoveryClient::nextListDelay(Instant now) const
{
    const bool isOwnRead = m_listOwner == m_self;
    const Duration renewalAge = isOwnRead ? m_settings.targetsInterval : m_settings.targetsRenewalAge;
    const Duration left = m_targetsReadAt + renewalAge - now;
    return std::min(std::max(left, m_settings.retryInterval), m_settings.targetsInterval);
}

asio::awaitable<void> DiscoveryClient::followTargets()
{
    boost::system::error_code ignored;
    while (true) {
        if (!followsTargets(Clock::now())) {
            m_nextTargets.expires_at(Instant::max());
            co_await m_nextTargets.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            m_followedSince = Clock::now();
            continue;
        }
        const bool updated = co_await renewTargets();
        m_targetsUnavailable = !updated;
        m_nextTargets.expires_after(updated ? nextListDelay(Clock::now()) : m_settings.retryInterval);
        co_await m_nextTargets.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace mulberryplank
