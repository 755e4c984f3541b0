#include "mulberryplank/net/configsync.h"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/policy/pollerchoice.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

constexpr Duration BehindLimit = Seconds(3);
constexpr Duration PollerCheckInterval = Millis(500); // how soon a change of the pollers is noticed
constexpr Duration MinPollInterval = Millis(10); // between two reads, should the log answer without waiting
constexpr Duration FirstBackoff = Millis(250);
constexpr Duration MaxBackoff = Seconds(4);

void reportOutcome(const EventSink &events, const EditOutcome &outcome, const std::string &source)
{
    const EventField offset { "offset", outcome.offset };
    switch (outcome.status) {
    case EditStatus::Accepted:
        events(Event::EditApplied, { { "edit", outcome.id.value() }, offset, { "detail", "from " + source } });
        break;
    case EditStatus::Unreadable:
        events(Event::RecordUnreadable,
               { { "stream", std::string(ConfigStream) }, offset, { "detail", outcome.detail } });
        break;
    default:
        events(Event::EditRefused,
               { { "edit", outcome.id.value() },
                 offset,
                 { "status", std::string(toString(outcome.status)) },
                 { "detail", outcome.detail } });
    }
}

} // namespace internal

std::string_view toString(ConfigPhase phase)
{
    constexpr std::array<std::string_view, 4> Names { "starting", "no-source", "no-snapshot", "in-force" };
    return Names.at(static_cast<std::size_t>(phase));
}

ConfigSync::ConfigSync(asio::io_context &context,
                       ConfigState &state,
                       Settings settings,
                       LogAccess log,
                       ConfigPeerAccess peers,
                       Members members,
                       EventSink events,
                       Clock clock)
    : m_context(context)
    , m_state(state)
    , m_settings(std::move(settings))
    , m_log(std::move(log))
    , m_peers(std::move(peers))
    , m_members(std::move(members))
    , m_events(std::move(events))
    , m_clock(std::move(clock))
    , m_random(m_settings.seed)
    , m_snapshots(m_settings.snapshots)
{
}

void ConfigSync::start()
{
    m_running = true;
    spawn(pollLoop());
    spawn(repeat(m_settings.gossipInterval, [this] {
        return gossipAndRepair();
    }));
    spawn(repeat(m_settings.snapshotCheckInterval, [this] {
        return maintainSnapshots();
    }));
}

void ConfigSync::stop()
{
    m_running = false;
    for (Timer *timer : m_timers) {
        timer->cancel();
    }
}

asio::awaitable<void> ConfigSync::gossipAndRepair()
{
    gossip();
    return repair();
}

void ConfigSync::spawn(asio::awaitable<void> task)
{
    asio::co_spawn(m_context, std::move(task), asio::detached);
}

asio::awaitable<void> ConfigSync::sleep(Duration duration)
{
    Timer timer(m_context, duration);
    m_timers.push_back(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    std::erase(m_timers, &timer);
}

asio::awaitable<void> ConfigSync::repeat(Duration interval, Step step)
{
    // Proxies that start at the same time would otherwise act in step for good.
    std::uniform_real_distribution<double> jitter(0.9, 1.1);
    while (m_running) {
        co_await step();
        co_await sleep(fromSeconds(toSeconds(interval) * jitter(m_random)));
    }
}

asio::awaitable<void> ConfigSync::pollLoop()
{
    Duration backoff = internal::FirstBackoff;
    while (m_running) {
        co_await sleep(internal::MinPollInterval);
        if (!shouldReadLog()) {
            co_await sleep(internal::PollerCheckInterval);
            continue;
        }
        if (co_await readLog(m_settings.pollWait)) {
            backoff = internal::FirstBackoff;
            continue;
        }
        std::uniform_real_distribution<double> jitter(0.5, 1.0);
        co_await sleep(fromSeconds(toSeconds(backoff) * jitter(m_random)));
        backoff = std::min(backoff * 2, internal::MaxBackoff);
    }
}

bool ConfigSync::shouldReadLog() const
{
    if (m_phase != ConfigPhase::InForce || peers().empty()) {
        return true;
    }
    if (pollerRank(m_settings.self, m_members(), m_settings.pollersPerDomain)) {
        return true;
    }
    // Peers may all be cut off from here, or from the log, while this proxy is not.
    const Instant now = m_clock();
    const bool peersUnresponsive = !m_lastCurrentPeerAt || now - *m_lastCurrentPeerAt > m_settings.peerTimeout;
    return peersUnresponsive || (m_behindSince && now - *m_behindSince > internal::BehindLimit);
}

Result<void> ConfigSync::loadLastKnown(std::string_view snapshot)
{
    auto table = ConfigTable::fromSnapshot(snapshot);
    if (!table) {
        return tl::make_unexpected(table.error());
    }
    const Offset offset = table->nextOffset();
    const auto loaded = m_state.load(std::move(*table));
    if (!loaded && m_state.applied() < offset) {
        return loaded;
    }
    m_events(Event::SnapshotLoaded, { { "source", std::string("operator") }, { "offset", m_state.applied() } });
    markInForce("a snapshot that the operator handed in");
    return {};
}

ConfigStatus ConfigSync::status() const
{
    ConfigStatus status;
    status.phase = m_phase;
    if (m_phase == ConfigPhase::Starting && m_snapshotMissing) {
        status.phase = ConfigPhase::NoSnapshot;
    } else if (m_phase == ConfigPhase::Starting && m_logTried && !m_logReachable && m_peersTried) {
        status.phase = ConfigPhase::NoSource;
    }
    status.applied = m_state.applied();
    status.newest = std::max(m_newest, status.applied);
    status.behind = m_behindSince && m_clock() - *m_behindSince > internal::BehindLimit;
    status.readsLog = shouldReadLog();
    status.logReachable = m_logReachable;
    status.logWentBack = m_logWentBack;
    status.detail = m_detail;
    return status;
}

bool ConfigSync::learn(const ConfigUpdate &update, std::string_view source)
{
    const Offset before = m_state.applied();
    const auto outcomes = m_state.learn(update);
    if (!outcomes) {
        if (outcomes.error().kind == ErrorKind::Conflict) {
            reportDifferentLog(std::string(source) + ": " + outcomes.error().detail);
        }
        return false;
    }
    for (const EditOutcome &outcome : *outcomes) {
        internal::reportOutcome(m_events, outcome, std::string(source));
    }
    if (!outcomes->empty()) {
        noteProgress();
        forward(before);
    }
    return true;
}

// Reported once, not with every page and message that shows it again.
void ConfigSync::reportDifferentLog(const std::string &detail)
{
    if (m_detail != detail) {
        m_detail = detail;
        m_events(Event::LogWentBack,
                 { { "stream", std::string(ConfigStream) }, { "applied", m_state.applied() }, { "detail", detail } });
    }
}

bool ConfigSync::load(ConfigTable table, std::string_view source)
{
    const auto loaded = m_state.load(std::move(table));
    if (!loaded) {
        return false;
    }
    m_events(Event::SnapshotLoaded, { { "source", std::string(source) }, { "offset", m_state.applied() } });
    noteProgress();
    return true;
}

void ConfigSync::markInForce(const std::string &detail)
{
    if (m_phase != ConfigPhase::InForce) {
        m_phase = ConfigPhase::InForce;
        m_detail = detail;
    }
}

void ConfigSync::noteNewest(Offset newest)
{
    m_newest = std::max(m_newest, newest);
    if (m_newest > m_state.applied() && !m_behindSince) {
        m_behindSince = m_clock();
        m_behindTarget = m_newest;
    }
    if (m_behindSince && !m_behindReported && m_clock() - *m_behindSince > internal::BehindLimit) {
        m_behindReported = true;
        m_events(Event::BehindLog, { { "applied", m_state.applied() }, { "newest", m_newest } });
    }
}

void ConfigSync::noteProgress()
{
    const Offset applied = m_state.applied();
    if (m_behindSince && applied >= m_behindTarget) {
        m_behindSince.reset();
        m_behindReported = false;
        noteNewest(m_newest);
    }
    // A part of the history would be an old table: rows that were removed since would serve again.
    if (m_firstLogEnd && applied >= *m_firstLogEnd && applied > 0) {
        markInForce("");
    }
}

} // namespace mulberryplank
