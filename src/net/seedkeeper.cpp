#include "mulberryplank/net/seedkeeper.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/pause.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

// Newcomers find the other seeds meanwhile, and calls are billed, failed ones as well.
constexpr Duration RetryNaming = Seconds(5);

} // namespace

} // namespace internal

SeedKeeper::SeedKeeper(asio::io_context &context,
                       KeyedStore store,
                       FleetSeed self,
                       Incarnation incarnation,
                       SeedKeeperSettings settings,
                       SeedKeeperHooks hooks,
                       EventSink events)
    : m_context(context)
    , m_store(std::move(store))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_events(std::move(events))
    , m_searchPause(settings.aloneFor)
{
}

void SeedKeeper::start(std::vector<FleetSeed> seeds)
{
    const Instant now = Clock::now();
    m_settledAt = now + m_settings.settle;
    m_nextSearch = now + m_settings.aloneFor;
    takeSeeds(std::move(seeds));
    asio::co_spawn(m_context, keep(), asio::detached);
}

void SeedKeeper::takeSeeds(std::vector<FleetSeed> seeds)
{
    m_seeds = std::move(seeds);
    m_named = std::any_of(m_seeds.begin(), m_seeds.end(), [this](const FleetSeed &seed) {
        return seed.vm == m_self.vm && seed.peer == m_self.peer;
    });
}

bool SeedKeeper::knowsOthers(const std::vector<Member> &members) const
{
    return std::any_of(members.begin(), members.end(), [this](const Member &member) {
        return member.incarnation != m_incarnation && member.status != MemberStatus::Dead;
    });
}

asio::awaitable<void> SeedKeeper::keep()
{
    while (true) {
        co_await pauseFor(m_context, m_settings.interval);
        co_await look();
    }
}

asio::awaitable<void> SeedKeeper::look()
{
    const Instant now = Clock::now();
    const std::vector<Member> members = m_hooks.members();
    if (knowsOthers(members)) {
        m_searchPause = m_settings.aloneFor;
        m_nextSearch = now + m_searchPause;
    } else if (now >= m_nextSearch) {
        m_searchPause = std::min(m_searchPause * 2, m_settings.mostAloneFor);
        m_nextSearch = now + m_searchPause;
        co_await findOthers();
    }
    const bool mayName = !m_named && now >= m_settledAt && now >= m_retryAt;
    if (mayName && isAmongTopRanked(members, m_incarnation, m_settings.seedsPerDomain)) {
        co_await nameItself(members);
    }
}

// What goes wrong without this: the seeds that this process has read at its start are gone, others have taken their
// places since, and it serves with what it knows alone.
asio::awaitable<void> SeedKeeper::findOthers()
{
    const Result<FleetEntry> known = co_await readFleet(m_store);
    if (!known) {
        noteFailure(known.error());
        co_return;
    }
    takeSeeds(known->seeds);
    m_hooks.seedsFound(m_seeds);
}

asio::awaitable<void> SeedKeeper::nameItself(std::vector<Member> members)
{
    const std::vector<VmName> gone = staleSeeds(m_seeds, members);
    const Result<void> named = co_await nameSeed(m_store, m_self, gone);
    if (!named) {
        m_retryAt = Clock::now() + internal::RetryNaming;
        noteFailure(named.error());
        co_return;
    }
    m_named = true;
    m_events(Event::SeedNamed, { { "vm", m_self.vm.value() }, { "members", members.size() }, { "gone", gone.size() } });
}

void SeedKeeper::noteFailure(const Error &error)
{
    m_events(
        Event::NewsReadFailed,
        { { "stream", std::string(toString(KeyedTopic::Fleet)) }, { "source", "store" }, { "detail", error.detail } });
}

} // namespace mulberryplank
