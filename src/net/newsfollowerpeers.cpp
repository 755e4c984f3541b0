#include "mulberryplank/net/newsfollower.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/policy/compression.h"
#include "newsfollowerprivate.h"

namespace mulberryplank
{

namespace asio = boost::asio;

void NewsFollower::noteNewsElsewhere(std::uint64_t version)
{
    m_hintedAt = Clock::now();
    m_storeRetry.reset();
    if (version == 0) {
        m_hinted = true;
        m_nextConfiguration.cancel();
    } else {
        noteVersionElsewhere(version);
    }
    if (m_listOwner != m_self) {
        m_targetsChanged = true;
        m_nextTargets.cancel();
    }
}

PeerNewsRequest NewsFollower::configurationRequest() const
{
    PeerNewsRequest request;
    request.version = versionInForce();
    request.wantsConfiguration = true;
    request.base = m_offer.digest();
    request.next = m_transfer.next();
    return request;
}

// Doesn't ask for the configuration as well: its answer would then come too late where that takes longer than a list of
// targets is waited for.
PeerNewsRequest NewsFollower::targetsRequest() const
{
    PeerNewsRequest request;
    request.version = versionInForce();
    request.wantsTargets = true;
    request.listOwner = m_listOwner;
    request.listVersion = m_listVersion;
    request.targetsNext = m_targetsNext;
    return request;
}

// Asks another process by `ask`. That none is there to read for this one is no failure.
asio::awaitable<Result<PeerNews>> NewsFollower::askFor(KeyedTopic topic,
                                                       const Ask &ask,
                                                       std::string_view source,
                                                       PeerNewsRequest request)
{
    const Instant begun = Clock::now();
    Result<PeerNews> news = co_await ask(request);
    if (!news && (source != internal::FromReader || m_hooks.hasReader())) {
        noteFailure(topic, source, begun, news.error());
    }
    co_return news;
}

void NewsFollower::takePiece(const ConfigurationPiece &piece)
{
    const std::optional<std::string> packed = m_transfer.take(piece);
    // With another base than the one in force it can't be unpacked any more: the configuration changed on the way.
    if (!packed || (piece.base != 0 && piece.base != m_offer.digest())) {
        return;
    }
    const std::string_view base = piece.base == 0 ? std::string_view() : m_offer.bytes();
    const Result<std::string> bytes = decompress(*packed, base);
    if (!bytes) {
        // What stands in the store may still be read.
        noteUnreadable(KeyedTopic::Configuration, bytes.error().detail);
        return;
    }
    takeConfiguration(*bytes, internal::FromPeer);
    // Asking for one that can't be used again would bring the same bytes, again and again.
    const std::uint64_t version = piece.position.version;
    m_unreadableVersion = version > versionInForce() ? version : m_unreadableVersion;
}

// Returns true if the news hold a list of targets that is up to date.
bool NewsFollower::takePeerNews(const PeerNews &news)
{
    takePiece(news.configuration);
    noteVersionElsewhere(news.version);
    if (!news.hasTargets || news.targetsNext < m_targetsNext) {
        return false;
    }
    // In an outage others may have read the store after this process, though too long ago to go by.
    if (!news.upToDate && m_targetsKnown && news.targetsNext == m_targetsNext) {
        return false;
    }
    const std::optional<bool> changed = takeList(news, Clock::now());
    if (!changed) {
        return false;
    }
    m_targetsNext = news.targetsNext;
    m_targetsKnown = true;
    m_listOwner = news.listOwner;
    m_listVersion = news.listVersion;
    afterTargets(*changed, internal::FromPeer, Millis(news.ageMillis), news.upToDate);
    return news.upToDate;
}

// Returns whether the list differs from the one before, or nothing if it can't be read.
std::optional<bool> NewsFollower::takeList(const PeerNews &news, Instant now)
{
    if (!news.packedTargets.empty()) {
        const Result<std::vector<AnnouncedTarget>> targets = unpackTargets(news.packedTargets);
        if (!targets) {
            noteUnreadable(KeyedTopic::Targets, targets.error().detail);
            return std::nullopt;
        }
        return m_directory.replaceAll(*targets, now);
    }
    bool changed = false;
    for (const AnnouncedTarget &target : news.changed) {
        changed = m_directory.announce(target, now) || changed;
    }
    for (const TargetName &id : news.gone) {
        changed = m_directory.remove(id, now) || changed;
    }
    return changed;
}

PeerNews NewsFollower::answerPeer(const PeerNewsRequest &request)
{
    PeerNews news;
    news.storeAnswers = storeAnswers();
    news.version = versionInForce();
    if (request.wantsConfiguration && news.version > request.version) {
        news.configuration = m_offer.piece(request.base, request.next);
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
    // Whoever takes it goes by it for another interval. Less would refuse lists of a process that reads in time.
    news.upToDate = m_targetsKnown && !m_targetsChanged && age < m_settings.targetsInterval * 5 / 4;
    news.hasTargets = news.upToDate || (m_targetsKnown && m_targetsNext > request.targetsNext);
    news.ageMillis = std::chrono::duration_cast<Millis>(age).count();
    news.targetsNext = m_targetsNext;
    news.listOwner = m_listOwner;
    news.listVersion = m_listVersion;
    news.unchanged = request.listOwner == m_listOwner && request.listVersion == m_listVersion;
    if (news.hasTargets && !news.unchanged) {
        tellList(request, news);
    }
    return news;
}

// Tells what has changed where that is known, as for those who follow the list here. What goes wrong without this: each
// change makes all of them fetch the whole list at once, over this process's link, and it comes too late for most.
void NewsFollower::tellList(const PeerNewsRequest &request, PeerNews &news)
{
    const bool followsThis = m_listOwner == m_self && request.listOwner == m_self;
    const auto changed = followsThis ? m_directory.changedSince(request.listVersion) : std::nullopt;
    if (!changed) {
        news.packedTargets = packedList();
        return;
    }
    for (const TargetName &id : *changed) {
        const auto found = m_directory.targets().find(id);
        const bool listed = found != m_directory.targets().end() && !found->second.removedAt;
        if (listed) {
            news.changed.push_back(found->second.target);
        } else {
            news.gone.push_back(id);
        }
    }
}

// Packed once for all who ask.
const std::string &NewsFollower::packedList()
{
    if (m_packedList.empty() || m_packedVersion != m_directory.changes()) {
        std::vector<AnnouncedTarget> targets;
        for (const auto &[id, listed] : m_directory.targets()) {
            if (!listed.removedAt) {
                targets.push_back(listed.target);
            }
        }
        m_packedList = packTargets(targets);
        m_packedVersion = m_directory.changes();
    }
    return m_packedList;
}

} // namespace mulberryplank
