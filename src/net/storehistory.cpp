#include "mulberryplank/net/storehistory.h"

#include <utility>

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace asio = boost::asio;

StoreHistory::StoreHistory(KeyedStore store, std::function<void()> wentBack, EventSink events)
    : m_store(std::move(store))
    , m_wentBack(std::move(wentBack))
    , m_events(std::move(events))
{
}

StoreEra StoreHistory::era() const
{
    return m_era;
}

std::optional<Instant> StoreHistory::eraKnownSince() const
{
    return m_eraKnownSince;
}

KeyedStore StoreHistory::access()
{
    KeyedStore access = m_store;
    access.read = [this](KeyedTopic topic, StorePosition from, Millis wait) -> asio::awaitable<Result<KeyedPage>> {
        Result<KeyedPage> page = co_await m_store.read(topic, from, wait);
        if (page && page->next.era < m_era) {
            co_return obsolete(page->next.era);
        }
        if (page) {
            note(page->next.era);
        }
        co_return page;
    };
    access.newest = [this](KeyedTopic topic) -> asio::awaitable<Result<KeyedSnapshot>> {
        Result<KeyedSnapshot> snapshot = co_await m_store.newest(topic);
        if (snapshot && snapshot->next.era < m_era) {
            co_return obsolete(snapshot->next.era);
        }
        if (snapshot) {
            note(snapshot->next.era);
        }
        co_return snapshot;
    };
    return access;
}

tl::unexpected<Error> StoreHistory::obsolete(StoreEra era) const
{
    return failure(ErrorKind::PlatformUnavailable,
                   "store: response of era " + std::to_string(era) + " after one of " + std::to_string(m_era));
}

void StoreHistory::note(StoreEra era)
{
    if (era <= m_era) {
        return;
    }
    const StoreEra before = std::exchange(m_era, era);
    m_eraKnownSince = Clock::now();
    if (before != 0) {
        m_events(Event::PlatformWentBack, { { "era", era }, { "before", before } });
        m_wentBack();
    }
}

} // namespace mulberryplank
