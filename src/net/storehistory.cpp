#include "mulberryplank/net/storehistory.h"

namespace mulberryplank
{

namespace asio = boost::asio;

StoreHistory::StoreHistory(KeyedStore store, EventSink events)
    : m_store(std::move(store))
    , m_events(std::move(events))
{
}

StoreEra StoreHistory::era() const
{
    return m_era;
}

KeyedStore StoreHistory::access()
{
    KeyedStore access = m_store;
    access.read = [this](KeyedTopic topic, Offset from, Millis wait) -> asio::awaitable<Result<KeyedPage>> {
        Result<KeyedPage> page = co_await m_store.read(topic, from, wait);
        if (page) {
            note(page->era);
        }
        co_return page;
    };
    access.newest = [this](KeyedTopic topic) -> asio::awaitable<Result<KeyedSnapshot>> {
        Result<KeyedSnapshot> snapshot = co_await m_store.newest(topic);
        if (snapshot) {
            note(snapshot->era);
        }
        co_return snapshot;
    };
    return access;
}

void StoreHistory::note(StoreEra era)
{
    if (era <= m_era) {
        return;
    }
    if (m_era != 0) {
        m_events(Event::PlatformWentBack, { { "era", era }, { "before", m_era } });
    }
    m_era = era;
}

} // namespace mulberryplank
