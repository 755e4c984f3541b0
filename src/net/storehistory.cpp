#include "mulberryplank/net/storehistory.h"

#include <algorithm>
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

// Returns the response, or an error if it is of an earlier history.
template<typename Records>
Result<Records> StoreHistory::followed(Result<Records> response)
{
    if (!response) {
        return response;
    }
    const StoreEra era = response->next.era;
    if (era < m_era) {
        return failure(ErrorKind::PlatformUnavailable,
                       "store: response of era " + std::to_string(era) + " after one of " + std::to_string(m_era));
    }
    note(era);
    return response;
}

KeyedStore StoreHistory::access()
{
    KeyedStore access = m_store;
    access.read = [this](KeyedTopic topic, StorePosition from, Millis wait) -> asio::awaitable<Result<KeyedPage>> {
        Result<KeyedPage> page = co_await m_store.read(topic, from, wait);
        co_return followed(std::move(page));
    };
    access.newest = [this](KeyedTopic topic) -> asio::awaitable<Result<KeyedSnapshot>> {
        Result<KeyedSnapshot> snapshot = co_await m_store.newest(topic);
        co_return followed(std::move(snapshot));
    };
    return access;
}

void StoreHistory::note(StoreEra era, Duration knownFor)
{
    if (era <= m_era) {
        return;
    }
    const StoreEra before = std::exchange(m_era, era);
    m_eraKnownSince = Clock::now() - std::max<Duration>(knownFor, {});
    if (before != 0) {
        m_events(Event::PlatformWentBack, { { "era", era }, { "before", before } });
        m_wentBack();
    }
}

} // namespace mulberryplank
