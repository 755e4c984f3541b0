#include "mulberryplank/net/crashdetector.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace internal
{

namespace
{

constexpr std::size_t LoggedContents = 4; // fingerprints in a line of the log

DataAwaitable<void> sleepOn(Worker &worker, Duration span)
{
    DataTimer timer(worker.context.get_executor(), span);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(UseData, ignored));
}

} // namespace

} // namespace internal

CrashDetector::CrashDetector(Worker &worker, CrashDetectorSettings settings, CrashDetectorHooks hooks, EventSink events)
    : m_worker(worker)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_events(std::move(events))
{
}

void CrashDetector::attemptLost(const LostAttempt &attempt)
{
    auto found = m_losses.find(attempt.target);
    if (found == m_losses.end()) {
        if (m_losses.size() >= m_settings.maxTargets || attempt.isLeaving()) {
            return;
        }
        found = m_losses.emplace(attempt.target, Loss { attempt, Clock::now(), 0, {} }).first;
        asio::co_spawn(m_worker.context, check(attempt.target), asio::detached);
    }
    Loss &loss = found->second;
    ++loss.attempts;
    loss.first.openedAt = std::max(loss.first.openedAt, attempt.openedAt);
    if (loss.sentAt.size() < m_settings.maxSuspects && !m_hooks.hasSucceeded(attempt.request)) {
        loss.sentAt.emplace(attempt.request, attempt.sentAt);
    }
}

std::size_t CrashDetector::pendingChecks() const
{
    return m_losses.size();
}

DataAwaitable<void> CrashDetector::check(TargetName target)
{
    co_await internal::sleepOn(m_worker, m_settings.firstCheckDelay);
    TargetState state = co_await stateOf(target);
    for (int number = 1; number < m_settings.checks && state == TargetState::Unknown; ++number) {
        co_await internal::sleepOn(m_worker, m_settings.checkInterval);
        state = co_await stateOf(target);
    }
    const auto node = m_losses.extract(target);
    if (state != TargetState::Crashed) {
        co_return;
    }
    const Loss &loss = node.mapped();
    loss.first.noteRefused();
    if (loss.first.isLeaving()) {
        co_return;
    }
    const bool isPathBlamed = co_await isPathToBlame(loss);
    if (!isPathBlamed) {
        report(loss);
    }
}

// Returns whether the loss of this process's path explains that the target refuses connections.
DataAwaitable<bool> CrashDetector::isPathToBlame(Loss loss)
{
    if (!loss.first.isPathLost()) {
        co_return false;
    }
    const Result<TargetConnectionPtr> relayed = co_await m_hooks.connectThroughRelay(loss.first.target);
    if (relayed || relayed.error().kind == ErrorKind::NoTarget) {
        co_return relayed.has_value();
    }
    co_return m_hooks.isIsolated() && !loss.first.isNewerThanLoss(loss.first.openedAt);
}

// A refused connection alone doesn't show a crash: a target with too many connections may refuse new ones as well.
DataAwaitable<CrashDetector::TargetState> CrashDetector::stateOf(TargetName target)
{
    const Endpoint endpoint = m_losses.at(target).first.endpoint;
    const TargetState state = co_await connectTo(endpoint);
    const Loss &loss = m_losses.at(target);
    const bool hasConnection = loss.first.hasAttemptFromBefore(loss.at) || m_worker.pool.hasOpen(endpoint);
    co_return state == TargetState::Crashed &&hasConnection ? TargetState::Unknown : state;
}

DataAwaitable<CrashDetector::TargetState> CrashDetector::connectTo(Endpoint endpoint)
{
    TargetConnectionPtr connection = m_worker.pool.create(Clock::now());
    const error_code error = co_await connection->stream.connect(endpoint, Clock::now() + m_settings.connectTimeout);

    if (!error) {
        m_worker.pool.put(endpoint, std::move(connection), Clock::now());
        co_return TargetState::Alive;
    }
    const bool refused = error == asio::error::connection_refused || error == asio::error::connection_reset;
    co_return refused ? TargetState::Crashed : TargetState::Unknown;
}

void CrashDetector::report(const Loss &loss)
{
    CrashReport report;
    report.target = targetKey(loss.first.target);
    report.age = Clock::now() - loss.at;
    std::string contents;
    for (const auto &[request, sentAt] : loss.sentAt) {
        report.suspects.push_back({ request, std::max<Duration>(loss.at - sentAt, Duration::zero()) });
        if (report.suspects.size() <= internal::LoggedContents) {
            contents += (contents.empty() ? "" : ",") + toString(request);
        }
    }
    m_events(Event::TargetCrashed,
             { { "target", loss.first.target.value() },
               { "requests", loss.attempts },
               { "contents", contents },
               { "duration_ms", std::chrono::duration_cast<Millis>(report.age).count() } });
    if (!report.suspects.empty()) {
        m_hooks.crashed(report);
    }
}

} // namespace mulberryplank
