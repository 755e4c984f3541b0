#include "mulberryplank/net/newsfollower.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "newsfollowerprivate.h"

namespace mulberryplank
{

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

void NewsFollower::noteNewsElsewhere()
{
    m_hintedAt = Clock::now();
    m_storeRetry.reset();
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
    const Instant begun = Clock::now();
    const Result<PeerNews> news = co_await m_hooks.askPeer(request);
    if (!news) {
        noteFailure(KeyedTopic::Configuration, internal::FromPeer, begun, news.error());
    }
    co_return news &&takePeerNews(*news);
}

asio::awaitable<Result<PeerNews>> NewsFollower::askReader(KeyedTopic topic)
{
    const PeerNewsRequest request = peerRequest();
    const Instant begun = Clock::now();
    Result<PeerNews> news = co_await m_hooks.askReader(request);
    if (!news && m_hooks.hasReader()) {
        noteFailure(topic, internal::FromReader, begun, news.error());
    }
    co_return news;
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
    news.storeAnswers = storeAnswers();
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
