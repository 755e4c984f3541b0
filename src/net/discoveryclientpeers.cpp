#include "mulberryplank/net/discoveryclient.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "discoveryclientprivate.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/policy/compression.h"

namespace mulberryplank
{

namespace asio = boost::asio;

void DiscoveryClient::noteRemoteUpdate(std::uint64_t version)
{
    m_hintedAt = Clock::now();
    m_storeRetry.reset();
    if (version == 0) {
        m_hinted = true;
        m_nextConfiguration.cancel();
    } else {
        noteRemoteVersion(version);
    }
    if (m_listOwner != m_self) {
        m_targetsChanged = true;
        m_nextTargets.cancel();
    }
}

PeerUpdateRequest DiscoveryClient::configurationRequest() const
{
    PeerUpdateRequest request;
    request.version = versionInForce();
    request.wantsConfiguration = true;
    request.base = m_offer.digest();
    request.next = m_transfer.next();
    request.storeEra = m_history.era();
    return request;
}

// Doesn't request the configuration as well: the response would then exceed the timeout for a list of targets.
PeerUpdateRequest DiscoveryClient::targetsRequest() const
{
    PeerUpdateRequest request;
    request.version = versionInForce();
    request.wantsTargets = true;
    request.listOwner = m_listOwner;
    request.listVersion = m_listVersion;
    request.targetsNext = m_targetsNext;
    request.storeEra = m_history.era();
    return request;
}

// Queries another process through `query`. If this process has no designated reader, that isn't logged as a failure.
asio::awaitable<Result<PeerUpdate>> DiscoveryClient::runQuery(KeyedTopic topic,
                                                              const Query &query,
                                                              std::string_view source,
                                                              PeerUpdateRequest request)
{
    const Instant startedAt = Clock::now();
    Result<PeerUpdate> update = co_await query(request);
    if (!update && (source != internal::FromReader || m_hooks.hasReader())) {
        noteFailure(topic, source, startedAt, update.error());
    }
    co_return update;
}

void DiscoveryClient::applyPiece(const ConfigurationPiece &piece)
{
    const std::optional<std::string> compressed = m_transfer.take(piece);
    // The piece can't be decompressed if its base isn't the configuration in force: that has changed during the
    // transfer.
    if (!compressed || (piece.base != 0 && piece.base != m_offer.digest())) {
        return;
    }
    const std::string_view base = piece.base == 0 ? std::string_view() : m_offer.bytes();
    const Result<std::string> bytes = decompress(*compressed, base);
    if (!bytes) {
        // The copy in the store may still be readable.
        noteUnreadable(KeyedTopic::Configuration, bytes.error().detail);
        return;
    }
    applyConfiguration(*bytes, { internal::FromPeer, compressed->size(), piece.base, m_transferStartedAt });
    // Requesting an unusable version again would bring the same bytes over and over.
    const std::uint64_t version = piece.position.version;
    m_unreadableVersion = version > versionInForce() ? version : m_unreadableVersion;
}

// Returns true if the update contains a list of targets that is up to date. `requestedAt`: when the update was
// requested.
bool DiscoveryClient::applyPeerUpdate(const PeerUpdate &update, Instant requestedAt)
{
    m_history.note(update.storeEra, Millis(update.eraAgeMillis));
    applyPiece(update.configuration);
    noteRemoteVersion(update.version);
    if (!update.hasTargets || update.targetsNext < m_targetsNext) {
        return false;
    }
    // In an outage other processes may have read the store later than this one, though too long ago for an up-to-date
    // list.
    if (!update.upToDate && m_targetsKnown && update.targetsNext == m_targetsNext) {
        return false;
    }
    noteEraOfList(update.targetsNext.era, internal::FromPeer);
    const std::uint64_t before = m_directory.changes();
    const std::optional<bool> isComplete = applyList(update, Clock::now());
    if (!isComplete) {
        return false;
    }
    m_targetsNext = update.targetsNext;
    m_targetsKnown = true;
    m_listOwner = update.listOwner;
    // Without the version the next response contains what was left out again.
    m_listVersion = *isComplete ? update.listVersion : 0;
    const bool changed = m_directory.changes() != before;
    finishTargetUpdate(changed, internal::FromPeer, requestedAt - Millis(update.ageMillis), update.upToDate);
    return update.upToDate;
}

// Returns whether all of the list was applied, or nothing if it can't be decoded.
std::optional<bool> DiscoveryClient::applyList(const PeerUpdate &update, Instant now)
{
    const std::set<TargetName> expired(update.expired.begin(), update.expired.end());
    if (update.compressedTargets.empty()) {
        return m_directory.applyDifference(update.changed, update.removed, expired, now);
    }
    const Result<std::vector<AnnouncedTarget>> targets = decompressTargets(update.compressedTargets);
    if (!targets) {
        noteUnreadable(KeyedTopic::Targets, targets.error().detail);
        return std::nullopt;
    }
    m_directory.replaceAll(*targets, now, expired);
    return true;
}

// Logs the duration of a compression, during which this process does nothing else.
ConfigurationPiece DiscoveryClient::pieceFor(const PeerUpdateRequest &request)
{
    const bool compresses = !m_offer.isCompressedFor(request.base);
    const Instant startedAt = Clock::now();
    ConfigurationPiece piece = m_offer.piece(request.base, request.next);
    if (compresses) {
        m_events(Event::ConfigurationPacked,
                 { { "version", versionInForce() },
                   { "bytes", m_offer.bytes().size() },
                   { "packed", piece.size },
                   { "base", piece.base },
                   { "duration_ms", std::chrono::duration_cast<Millis>(Clock::now() - startedAt).count() } });
    }
    return piece;
}

PeerUpdate DiscoveryClient::respondToPeer(const PeerUpdateRequest &request)
{
    m_history.note(request.storeEra);
    PeerUpdate update;
    update.storeResponds = storeResponds();
    update.storeEra = m_history.era();
    const Instant eraKnownSince = m_history.eraKnownSince().value_or(Clock::now());
    update.eraAgeMillis = std::chrono::duration_cast<Millis>(Clock::now() - eraKnownSince).count();
    update.version = versionInForce();
    if (request.wantsConfiguration && update.version > request.version) {
        update.configuration = pieceFor(request);
    }
    if (!request.wantsTargets) {
        return update;
    }
    const Instant now = Clock::now();
    // Starts to follow the list, so that it is available here when the requester retries.
    if (!followsTargets(now)) {
        m_lastNeededAt = now;
        m_nextTargets.cancel();
    }
    const Duration age = now - m_targetsReadAt;
    // The requester uses the list for another interval. A lower limit would reject the lists of a process that reads in
    // time.
    update.upToDate = m_targetsKnown && !m_targetsChanged && age < m_settings.targetsInterval * 5 / 4;
    update.hasTargets = update.upToDate || (m_targetsKnown && m_targetsNext > request.targetsNext);
    update.ageMillis = std::chrono::duration_cast<Millis>(age).count();
    update.targetsNext = m_targetsNext;
    update.listOwner = m_listOwner;
    update.listVersion = m_listVersion;
    update.unchanged = request.listOwner == m_listOwner && request.listVersion == m_listVersion;
    if (update.hasTargets && !update.unchanged) {
        addList(request, update);
    }
    return update;
}

// Adds only the difference where it is known, which holds for processes that follow this process's list. Otherwise each
// change would make all of them fetch the whole list at once over this process's link, too late for many of them.
void DiscoveryClient::addList(const PeerUpdateRequest &request, PeerUpdate &update)
{
    const bool followsOwnList = m_listOwner == m_self && request.listOwner == m_self;
    const auto changed = followsOwnList ? m_directory.changedSince(request.listVersion) : std::nullopt;
    if (!changed) {
        update.compressedTargets = compressedList();
        update.expired = m_directory.expired();
        return;
    }
    for (const TargetName &id : *changed) {
        const auto found = m_directory.targets().find(id);
        if (found != m_directory.targets().end()) {
            update.changed.push_back(found->second.target);
            if (found->second.keptUntil) {
                update.expired.push_back(id);
            }
        } else {
            update.removed.push_back(id);
        }
    }
}

// Returns the compressed list, which is cached for all requesters. It includes targets whose entries have expired and
// that are still kept, which may run.
const std::string &DiscoveryClient::compressedList()
{
    if (m_compressedList.empty() || m_compressedVersion != m_directory.changes()) {
        std::vector<AnnouncedTarget> targets;
        for (const auto &[id, listed] : m_directory.targets()) {
            targets.push_back(listed.target);
        }
        m_compressedList = compressTargets(targets);
        m_compressedVersion = m_directory.changes();
    }
    return m_compressedList;
}

} // namespace mulberryplank
