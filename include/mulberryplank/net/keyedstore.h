#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/logpage.h"

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

// Identifies a history of the store. It rises each time the store comes back from an older copy of itself, which gives
// out the offsets of the lost records again. 0: the store names none.
using StoreEra = std::uint64_t;

// Records in the order in which they were written.
struct KeyedPage {
    std::vector<KeyedRecord> records;
    Offset next = 0; // of the first record that isn't included
    std::size_t unreadable = 0; // records left out because they have no readable key
    StoreEra era = 0; // in which the store responded
    bool historyExpired = false; // the requested records are no longer kept; newest() has to be called instead
};

// The newest record of every key, as of `next` or later.
struct KeyedSnapshot {
    std::vector<KeyedRecord> records; // all with values
    Offset next = 0; // the offset from which to continue with read()
    std::size_t unreadable = 0; // as in KeyedPage
    StoreEra era = 0; // in which the store responded first
};

// Access to the platform's store. Errors of all calls: PlatformUnavailable when the store rejected the call or didn't
// respond. Conflict from append() when the topic has grown beyond `expectedEnd`.
struct KeyedStore {
    template<typename T>
    using Response = boost::asio::awaitable<Result<T>>;

    // Returns the records from `from` on. Waits up to `wait` for one when there is none.
    std::function<Response<KeyedPage>(KeyedTopic, Offset from, Millis wait)> read;
    std::function<Response<KeyedSnapshot>(KeyedTopic)> newest;
    // Appends all of the records or none. With `expectedEnd`, appends only if the topic ends there. After
    // PlatformUnavailable they may or may not have been appended.
    std::function<Response<void>(KeyedTopic, std::vector<KeyedRecord>, std::optional<Offset> expectedEnd)> append;
};

} // namespace mulberryplank
