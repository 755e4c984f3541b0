#include "mulberryplank/net/seedpublisher.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/sleep.h"
#include "mulberryplank/policy/phase.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

// The delay before a failed registration is repeated. New processes find the other seeds during it, and every call is
// billed, even a failed one.
constexpr Duration RegistrationRetryInterval = Seconds(5);

} // namespace

} // namespace internal

SeedPublisher::SeedPublisher(asio::io_context &context,
                             KeyedStore store,
                             FleetSeed self,
                             Incarnation incarnation,
                             SeedPublisherSettings settings,
                             SeedPublisherHooks hooks,
                             EventSink events)
    : m_context(context)
    , m_store(std::move(store))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_events(std::move(events))
    , m_searchInterval(settings.isolationTimeout)
{
}

void SeedPublisher::start(std::vector<FleetSeed> seeds)
{
    const Instant now = Clock::now();
    m_mayRegisterAt = now + m_settings.settleTime;
    m_nextSearch =
        now + std::chrono::duration_cast<Duration>(m_settings.isolationTimeout * (0.5 + phaseOf(m_incarnation)));
    m_nextRecordsRead = now + m_settings.recordsInterval;
    setSeeds(std::move(seeds));
    asio::co_spawn(m_context, run(), asio::detached);
}

void SeedPublisher::setSeeds(std::vector<FleetSeed> seeds)
{
    m_seeds = std::move(seeds);
    m_registered = std::any_of(m_seeds.begin(), m_seeds.end(), [this](const FleetSeed &seed) {
        return seed.vm == m_self.vm && seed.peer == m_self.peer;
    });
}

bool SeedPublisher::knowsOthers(const std::vector<Member> &members) const
{
    return std::any_of(members.begin(), members.end(), [this](const Member &member) {
        return member.incarnation != m_incarnation && member.status != MemberStatus::Dead;
    });
}

asio::awaitable<void> SeedPublisher::run()
{
    while (true) {
        co_await sleepFor(m_context, m_settings.interval);
        co_await checkMembers();
    }
}

asio::awaitable<void> SeedPublisher::checkMembers()
{
    const Instant now = Clock::now();
    const std::vector<Member> members = m_hooks.members();
    if (knowsOthers(members)) {
        m_searchInterval = m_settings.isolationTimeout;
        m_nextSearch = now + m_searchInterval;
    } else if (now >= m_nextSearch) {
        m_nextSearch = now + m_searchInterval;
        m_searchInterval = std::min(m_searchInterval * 2, m_settings.maxIsolationTimeout);
        co_await search(members);
    }
    const bool isReadDue = m_registered && now >= m_nextRecordsRead;
    if (isReadDue || (m_checkAt && now >= *m_checkAt)) {
        m_nextRecordsRead = now + m_settings.recordsInterval;
        co_await checkRecords();
    }
    const bool mayRegister = !m_registered && now >= m_mayRegisterAt && now >= m_retryAt;
    if (mayRegister && isAmongTopRanked(members, m_incarnation, m_settings.seedsPerDomain)) {
        co_await registerSelf(members);
    }
}

void SeedPublisher::storeWentBack()
{
    const std::vector<Member> members = m_hooks.members();
    const auto known = static_cast<std::int64_t>(members.size());
    const Duration spread = std::max(m_settings.minCheckTime, m_settings.checkTimePerMember * known);
    const bool writesFirst = isAmongTopRanked(members, m_incarnation, m_settings.seedsPerDomain);
    m_checkAt =
        Clock::now() + std::chrono::duration_cast<Duration>(spread * (writesFirst ? 0 : phaseOf(m_incarnation)));
}

// Without this, the fleet would split: a process that starts and finds no key creates another one.
asio::awaitable<void> SeedPublisher::checkRecords()
{
    const Result<FleetBootstrap> records = co_await readFleet(m_store);
    if (!records) {
        noteFailure(records.error());
        co_return;
    }
    if (records->key.empty()) {
        const Result<void> restored = co_await restoreKey(m_store, m_hooks.fleetKey(), m_self, records->end);
        if (!restored) {
            noteFailure(restored.error());
        }
        m_registered = restored.has_value();
        m_checkAt = m_checkAt.value_or(Clock::now()); // reads what has become of it
        co_return;
    }
    m_checkAt.reset();
    setSeeds(records->seeds);
    if (records->key != m_hooks.fleetKey()) {
        m_hooks.keyFound(records->key);
    }
    m_hooks.seedsFound(m_seeds);
}

// Without this, a process whose initial seeds have all stopped and been replaced would stay isolated and serve with
// only its own knowledge, and processes that start together without a seed would stay isolated from each other.
asio::awaitable<void> SeedPublisher::search(const std::vector<Member> &members)
{
    const bool areComplete = co_await refreshSeeds();
    if (areComplete && !m_registered && !hasUnqueriedSeed()) {
        co_await registerSelf(members);
    }
}

// Returns whether the records were read and are complete: without the key, the store has come back from an older copy,
// and checkRecords() writes what is missing.
asio::awaitable<bool> SeedPublisher::refreshSeeds()
{
    const Result<FleetBootstrap> bootstrap = co_await readFleet(m_store);
    if (!bootstrap) {
        noteFailure(bootstrap.error());
        co_return false;
    }
    setSeeds(bootstrap->seeds);
    m_hooks.seedsFound(m_seeds);
    co_return !bootstrap->key.empty();
}

bool SeedPublisher::hasUnqueriedSeed() const
{
    return std::any_of(m_seeds.begin(), m_seeds.end(), [this](const FleetSeed &seed) {
        return seed.vm != m_self.vm && !m_hooks.isUnresponsive(seed.peer);
    });
}

asio::awaitable<void> SeedPublisher::registerSelf(std::vector<Member> members)
{
    const std::vector<VmName> removed = staleSeeds(m_seeds, members, m_self.failureDomain, m_hooks.isUnresponsive);
    const Result<void> registered = co_await registerSeed(m_store, m_self, removed);
    if (!registered) {
        m_retryAt = Clock::now() + internal::RegistrationRetryInterval;
        noteFailure(registered.error());
        co_return;
    }
    m_registered = true;
    m_events(Event::SeedNamed,
             { { "vm", m_self.vm.value() }, { "members", members.size() }, { "gone", removed.size() } });
}

void SeedPublisher::noteFailure(const Error &error)
{
    m_events(
        Event::NewsReadFailed,
        { { "stream", std::string(toString(KeyedTopic::Fleet)) }, { "source", "store" }, { "detail", error.detail } });
}

} // namespace mulberryplank
