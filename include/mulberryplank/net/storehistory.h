#pragma once

#include <functional>
#include <optional>

#include "mulberryplank/base/event.h"
#include "mulberryplank/net/keyedstore.h"

namespace mulberryplank
{

// Follows which history the platform's store is in, by the eras of its responses and what other processes report. A
// response of an earlier history that arrives late counts as none. Must be used on the thread that runs the calls'
// io_context, and must outlive the calls.
class StoreHistory
{
public:
    // `wentBack` is called each time that the store has come back from an older copy.
    StoreHistory(KeyedStore store, std::function<void()> wentBack, EventSink events);
    StoreHistory(const StoreHistory &) = delete;
    StoreHistory &operator=(const StoreHistory &) = delete;

    // Returns the calls of the store, whose responses are followed. They are valid as long as this object.
    KeyedStore access();

    // Returns the newest era known; 0 before the first response, and where the store doesn't name any.
    StoreEra era() const;

    // Returns since when that era is known, here or at the process that reported it; nothing before the first response.
    std::optional<Instant> eraKnownSince() const;

    // Must be called when another process reports an era, with the time since when it is known there.
    void note(StoreEra era, Duration knownFor = {});

private:
    template<typename Records>
    Result<Records> followed(Result<Records> response);

    KeyedStore m_store;
    std::function<void()> m_wentBack;
    EventSink m_events;
    StoreEra m_era = 0;
    std::optional<Instant> m_eraKnownSince;
};

} // namespace mulberryplank
