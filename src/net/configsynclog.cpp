// The side of ConfigSync that reads and writes the platform's log.
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/configsync.h"
#include "mulberryplank/policy/pollerchoice.h"
#include "mulberryplank/policy/snapshotparts.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

// Records of the snapshot stream are large; this many are read at once.
constexpr std::size_t SnapshotPageRecords = 8;

tl::unexpected<Error> outcomeUnknown(const Edit &edit, const std::string &reason)
{
    return failure(ErrorKind::PlatformUnavailable,
                   "the edit isn't known to be accepted yet (" + reason
                       + "); it may be submitted again with the same id " + edit.id.value());
}

} // namespace internal

LogAccess accessTo(LogClient &client)
{
    LogAccess access;
    access.read = [&client](std::string stream, Offset from, std::size_t maxRecords, Millis wait) {
        return client.read(std::move(stream), from, maxRecords, wait);
    };
    access.append = [&client](std::string stream, std::string record) {
        return client.append(std::move(stream), std::move(record));
    };
    return access;
}

void ConfigSync::noteLog(const Result<LogPage> &page)
{
    const bool reachable = page.has_value();
    if (reachable != m_logReachable || !m_logTried) {
        m_events(reachable ? Event::PlatformBack : Event::PlatformDown,
                 { { "service", std::string("log") },
                   { "stream", std::string(ConfigStream) },
                   { "detail", reachable ? "" : page.error().detail } });
    }
    m_logTried = true;
    m_logReachable = reachable;
}

void ConfigSync::noteFinding(const LogCheckResult &judgement)
{
    m_logWentBack = judgement.finding == LogFinding::RolledBack;
    if (m_logWentBack || judgement.finding == LogFinding::Malformed) {
        reportDifferentLog("log: " + judgement.detail);
    }
}

asio::awaitable<bool> ConfigSync::readLog(Millis wait)
{
    const Instant now = m_clock();
    const bool verified = m_phase == ConfigPhase::InForce && m_logReachable && !m_logWentBack && m_lastVerified
                          && now - *m_lastVerified < m_settings.verifyInterval;
    if (verified && wait.count() > 0) {
        const Offset applied = m_state.applied();
        const auto page = co_await m_log.read(ConfigStream, applied, 1, wait);
        noteLog(page);
        if (!page) {
            co_return false;
        }
        if (page->next == applied && page->first <= applied) {
            co_return true;
        }
    }
    if (m_state.applied() == 0 && !m_snapshotTried) {
        co_await loadNewestSnapshot();
    }
    const auto finding = co_await catchUp();
    co_return finding &&*finding == LogFinding::Current;
}

// Reads page by page until nothing is new. Where records have expired, a snapshot comes first.
asio::awaitable<Result<LogFinding>> ConfigSync::catchUp()
{
    while (true) {
        const Offset before = m_state.applied();
        auto finding = co_await fetch();
        if (finding && *finding == LogFinding::Expired) {
            co_await loadNewestSnapshot();
        }
        if (m_state.applied() == before) {
            co_return finding;
        }
    }
}

// Reads and applies one page.
asio::awaitable<Result<LogFinding>> ConfigSync::fetch()
{
    const ConfigState::Position position = m_state.position();
    auto page =
        co_await m_log.read(ConfigStream, verificationOffset(position.applied), m_settings.pageRecords, Millis(0));
    noteLog(page);
    if (!page) {
        co_return tl::make_unexpected(page.error());
    }
    m_logExtent = { page->first, page->next, {} };
    LogCheckResult judgement = checkLog(position.applied, position.last, std::move(*page));
    noteFinding(judgement);
    if (judgement.finding == LogFinding::RolledBack || judgement.finding == LogFinding::Malformed) {
        co_return judgement.finding;
    }
    m_lastVerified = m_clock();
    m_firstLogEnd = m_firstLogEnd.value_or(m_logExtent.next);
    noteNewest(m_logExtent.next);
    ConfigUpdate update { position.applied, position.last, {} };
    for (LogRecord &record : judgement.update) {
        update.records.push_back(std::move(record.data));
    }
    applyUpdate(update, "log");
    noteProgress();
    // An empty log is an empty table only if nobody knows of a fuller one.
    if (m_newest == 0 && m_snapshotTried && (m_peersTried || peers().empty())) {
        markInForce("the log is empty");
    }
    co_return judgement.finding;
}

// Returns the last records of the snapshot stream, at maxRecords `maxRecords`.
asio::awaitable<Result<LogPage>> ConfigSync::newestSnapshotRecords(std::size_t maxRecords)
{
    auto extent = co_await m_log.read(SnapshotStream, 0, 1, Millis(0));
    noteLog(extent);
    if (!extent) {
        co_return extent;
    }
    const Offset kept = extent->next - std::min(extent->first, extent->next);
    LogPage all { extent->first, extent->next, {} };
    Offset from = extent->next - std::min<Offset>(kept, maxRecords);
    while (from < extent->next) {
        auto page = co_await m_log.read(SnapshotStream, from, internal::SnapshotPageRecords, Millis(0));
        if (!page || page->records.empty()) {
            co_return page;
        }
        from = page->records.back().offset + 1;
        std::move(page->records.begin(), page->records.end(), std::back_inserter(all.records));
    }
    co_return all;
}

asio::awaitable<void> ConfigSync::loadNewestSnapshot()
{
    std::size_t maxRecords = internal::SnapshotPageRecords;
    while (true) {
        auto page = co_await newestSnapshotRecords(maxRecords);
        if (!page) {
            co_return;
        }
        SnapshotAssembler assembler;
        for (LogRecord &record : page->records) {
            assembler.add(record.data);
            record.data = std::string();
        }
        auto newest = assembler.takeNewest();
        auto table = newest ? ConfigTable::fromSnapshot(std::move(*newest))
                            : failure(ErrorKind::NotFound, "no snapshot in the log");
        if (table) {
            noteNewest(table->nextOffset());
            m_snapshotTried = true;
            m_snapshotMissing = !load(std::move(*table), "log") && m_logExtent.first > m_state.applied();
            co_return;
        }
        if (maxRecords >= page->next - page->first) {
            m_snapshotTried = true;
            m_snapshotMissing = m_logExtent.first > m_state.applied();
            co_return;
        }
        maxRecords *= 2;
    }
}

asio::awaitable<void> ConfigSync::notePublishedSnapshots()
{
    const auto page = co_await newestSnapshotRecords(internal::SnapshotPageRecords);
    if (!page) {
        co_return;
    }
    for (const LogRecord &record : page->records) {
        if (const auto next = snapshotEndedBy(record.data)) {
            m_snapshots.seen(*next, record.offset, m_clock());
        }
    }
}

asio::awaitable<void> ConfigSync::maintainSnapshots()
{
    const auto rank = pollerRank(m_settings.self, m_members(), m_settings.pollersPerDomain);
    const bool mayPublish = m_phase == ConfigPhase::InForce && m_logReachable && !m_logWentBack;
    if (!rank || !mayPublish || !m_snapshots.isDue(m_state.applied(), m_logExtent, *rank, m_clock())) {
        co_return;
    }
    co_await notePublishedSnapshots();
    if (m_snapshots.isDue(m_state.applied(), m_logExtent, *rank, m_clock())) {
        co_await publishSnapshot();
    }
}

asio::awaitable<void> ConfigSync::publishSnapshot()
{
    std::optional<SnapshotParts> parts;
    m_state.read([&parts](const ConfigTable &table) {
        parts.emplace(table);
    });
    Offset at = 0;
    while (parts->taken() < parts->count()) {
        const auto appended = co_await m_log.append(SnapshotStream, parts->takeNext());
        if (!appended) {
            co_return; // the next check tries again
        }
        at = *appended;
    }
    m_snapshots.seen(parts->next(), at, m_clock());
    m_events(Event::SnapshotPublished, { { "offset", parts->next() }, { "records", parts->count() } });
}

// Reads until the record at `appended` is applied, or the deadline passes.
asio::awaitable<void> ConfigSync::readBack(Offset appended, Instant deadline)
{
    co_await catchUp();
    while (m_state.applied() <= appended && m_clock() < deadline && !m_logWentBack) {
        co_await sleep(m_settings.retryInterval);
        co_await catchUp();
    }
}

asio::awaitable<Result<EditOutcome>> ConfigSync::submit(Edit edit, Duration timeout)
{
    if (const auto checked = checkEdit(edit); !checked) {
        co_return tl::make_unexpected(checked.error());
    }
    const std::string record = encodeEdit(edit);
    if (record.size() > MaxRecordSize) {
        co_return failure(ErrorKind::BadConfiguration,
                          "the edit takes " + std::to_string(record.size()) + " bytes, a record has room for "
                              + std::to_string(MaxRecordSize));
    }
    if (m_phase != ConfigPhase::InForce) {
        co_return failure(ErrorKind::NotReady, "this proxy has no configuration yet");
    }
    const Instant deadline = m_clock() + timeout;
    std::string reason;
    while (m_clock() < deadline) {
        // It may have been appended before, through another proxy or by an append whose answer was lost.
        co_await catchUp();
        if (auto outcome = m_state.outcomeOf(edit.id)) {
            co_return *outcome;
        }
        if (m_logWentBack) {
            co_return internal::outcomeUnknown(edit, "the log isn't the one that is in force here: " + m_detail);
        }
        const auto appended = co_await m_log.append(ConfigStream, record);
        if (appended) {
            co_await readBack(*appended, deadline);
            reason = "appended at " + std::to_string(*appended) + ", not read back";
            break;
        }
        reason = appended.error().detail;
        co_await sleep(m_settings.retryInterval);
    }
    if (auto outcome = m_state.outcomeOf(edit.id)) {
        co_return *outcome;
    }
    co_return internal::outcomeUnknown(edit, reason);
}

} // namespace mulberryplank
