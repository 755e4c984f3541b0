#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/storeposition.h"

namespace mulberryplank
{

// The topics of keyed records in the platform's store that this program reads or writes.
enum class KeyedTopic : std::uint8_t {
    Configuration, // written by operators: the newest configuration
    Targets, // written by targets: each announces its own state
    Fleet, // written by this program's processes: how they find and authenticate each other
};

std::string_view toString(KeyedTopic topic);

// The newest value of a key, or the key's removal.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value; // empty: the key was removed
};

// Records in the order in which they were written.
struct KeyedPage {
    std::vector<KeyedRecord> records;
    StorePosition next; // of the first record that isn't included
    std::size_t unreadable = 0; // records left out because they have no readable key
    // The requested records are no longer kept, or the store's history isn't the requested one; newest() has to be
    // called instead.
    bool historyExpired = false;
};

// The newest record of every key, as of `next` or later.
struct KeyedSnapshot {
    std::vector<KeyedRecord> records; // all with values
    StorePosition next; // from which to continue with read()
    std::size_t unreadable = 0; // as in KeyedPage
};

// Returns the page that the store sent for a read from `from`. Where it belongs to another history, its records don't
// continue at `from`, and the page only tells so. All records from the beginning are a continuation of nothing.
KeyedPage continuedFrom(const StorePosition &from, KeyedPage page);

// Access to the platform's store. Errors of all calls: PlatformUnavailable when the store rejected the call or didn't
// respond. Conflict from append() when the topic doesn't end at `expectedEnd`, or the store's history isn't that one.
struct KeyedStore {
    template<typename T>
    using Response = boost::asio::awaitable<Result<T>>;

    // Returns the records from `from` on. Waits up to `wait` for one when there is none.
    std::function<Response<KeyedPage>(KeyedTopic, StorePosition from, Millis wait)> read;
    std::function<Response<KeyedSnapshot>(KeyedTopic)> newest;
    // Appends all of the records or none. With `expectedEnd`, appends only if the topic ends there. After
    // PlatformUnavailable they may or may not have been appended.
    std::function<Response<void>(KeyedTopic, std::vector<KeyedRecord>, std::optional<StorePosition> expectedEnd)>
        append;
};

} // namespace mulberryplank
