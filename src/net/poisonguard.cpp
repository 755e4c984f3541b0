#include "mulberryplank/net/poisonguard.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/fleetregistry.h"
#include "mulberryplank/net/sleep.h"

namespace mulberryplank
{

namespace asio = boost::asio;

PoisonGuard::PoisonGuard(
    asio::io_context &context, KeyedStore store, PoisonGuardSettings settings, PoisonGuardHooks hooks, EventSink events)
    : m_context(context)
    , m_store(std::move(store))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_events(std::move(events))
    , m_attribution(settings.attribution)
    , m_quarantine(settings.maxQuarantined)
{
}

void PoisonGuard::load(const std::vector<RequestFingerprint> &quarantined)
{
    for (const RequestFingerprint request : quarantined) {
        m_stored.insert(request);
        quarantine({ request, m_settings.quarantineTime }, "store");
    }
}

void PoisonGuard::storeWentBack()
{
    m_stored.clear();
}

std::optional<Duration> PoisonGuard::quarantineLeft(RequestFingerprint request) const
{
    return m_quarantine.left(request, Clock::now());
}

bool PoisonGuard::hasSucceeded(RequestFingerprint request) const
{
    return m_attribution.hasSucceeded(request);
}

void PoisonGuard::recordSuccess(RequestFingerprint request)
{
    if (m_attribution.recordSuccess(request)) {
        m_hooks.sendCrashes({ {}, { request } });
    }
}

void PoisonGuard::recordError(RequestFingerprint request)
{
    if (m_attribution.recordError(request)) {
        m_hooks.sendCrashes({ {}, { request } });
    }
}

void PoisonGuard::recordCrash(const CrashReport &report)
{
    const Instant now = Clock::now();
    if (mayReport(now)) {
        m_hooks.sendCrashes({ { report }, {} });
    }
    addCrash(report, now);
}

bool PoisonGuard::mayReport(Instant now)
{
    if (now - m_reportsSince >= Seconds(1)) {
        m_reportsSince = now;
        m_reports = 0;
    }
    return ++m_reports <= m_settings.maxReportsPerSecond;
}

void PoisonGuard::merge(const CrashMessage &message)
{
    for (const RequestFingerprint request : message.cleared) {
        m_attribution.clearSuspect(request);
    }
    for (const CrashReport &report : message.crashes) {
        addCrash(report, Clock::now());
    }
}

void PoisonGuard::addCrash(const CrashReport &report, Instant now)
{
    const bool isExplained =
        std::any_of(report.suspects.begin(), report.suspects.end(), [this, now](const CrashSuspect &suspect) {
            return m_quarantine.left(suspect.request, now).has_value();
        });
    if (isExplained) {
        m_attribution.addExplainedCrash(report, now);
        return;
    }
    std::vector<QuarantinedRequest> blamed;
    for (const RequestFingerprint request : m_attribution.addCrash(report, now)) {
        blamed.push_back({ request, m_settings.quarantineTime });
        quarantine(blamed.back(), "evidence");
    }
    if (!blamed.empty()) {
        m_hooks.sendQuarantinedToIngress(blamed);
        m_hooks.sendQuarantinedToRandom(blamed, m_settings.forwardTo);
    }
}

void PoisonGuard::mergeQuarantined(const std::vector<QuarantinedRequest> &requests)
{
    std::vector<QuarantinedRequest> added;
    for (const QuarantinedRequest &entry : requests) {
        if (quarantine(entry, "peer")) {
            added.push_back(entry);
        }
    }
    if (!added.empty()) {
        m_hooks.sendQuarantinedToRandom(added, m_settings.forwardTo);
    }
}

bool PoisonGuard::quarantine(const QuarantinedRequest &entry, std::string_view source)
{
    if (!m_quarantine.add(entry, Clock::now())) {
        return false;
    }
    m_spreadUntil = Clock::now() + m_settings.spreadTime;
    m_attribution.markExplained(entry.request);
    m_toRemove.erase(entry.request);
    m_events(Event::RequestQuarantined,
             { { "content", toString(entry.request) },
               { "source", std::string(source) },
               { "left_ms", std::chrono::duration_cast<Millis>(entry.left).count() } });
    writeChanges();
    return true;
}

void PoisonGuard::tick()
{
    const Instant now = Clock::now();
    expire(now);
    writeChanges();
    const std::vector<QuarantinedRequest> entries = m_quarantine.entries(now);
    if (!entries.empty() && (now >= m_nextSync || now < m_spreadUntil)) {
        m_nextSync = now + m_settings.syncInterval;
        m_hooks.sendQuarantinedToNext(entries);
    }
}

void PoisonGuard::expire(Instant now)
{
    for (const RequestFingerprint request : m_quarantine.expire(now)) {
        m_events(Event::RequestReleased, { { "content", toString(request) } });
        if (m_stored.erase(request) > 0 && m_hooks.writesStore()) {
            m_toRemove.insert(request);
        }
    }
}

std::vector<QuarantinedRequest> PoisonGuard::quarantined() const
{
    return m_quarantine.entries(Clock::now());
}

// Returns the quarantined requests that the store doesn't hold as far as this process knows.
std::vector<RequestFingerprint> PoisonGuard::unstored() const
{
    std::vector<RequestFingerprint> requests;
    for (const QuarantinedRequest &entry : quarantined()) {
        if (!m_stored.contains(entry.request)) {
            requests.push_back(entry.request);
        }
    }
    return requests;
}

void PoisonGuard::writeChanges()
{
    if (m_writing || (unstored().empty() && m_toRemove.empty()) || !m_hooks.writesStore()) {
        return;
    }
    m_writing = true;
    asio::co_spawn(m_context, writeAll(), asio::detached);
}

// Writes what the store doesn't hold yet. A failed write is repeated by a later tick.
asio::awaitable<void> PoisonGuard::writeAll()
{
    const std::vector<RequestFingerprint> added = unstored();
    const std::vector<RequestFingerprint> removed(m_toRemove.begin(), m_toRemove.end());
    const Result<void> written = co_await recordQuarantined(m_store, added, removed);
    if (written) {
        m_stored.insert(added.begin(), added.end());
        for (const RequestFingerprint request : removed) {
            m_toRemove.erase(request);
        }
    } else {
        m_events(Event::NewsReadFailed,
                 { { "stream", std::string(toString(KeyedTopic::Fleet)) },
                   { "source", "store" },
                   { "detail", written.error().detail } });
        co_await sleepFor(m_context, m_settings.storeRetryInterval);
    }
    m_writing = false;
}

} // namespace mulberryplank
