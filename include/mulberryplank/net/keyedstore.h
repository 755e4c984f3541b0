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

// The lists of keyed records that the product reads or keeps in the platform's store.
enum class KeyedTopic : std::uint8_t {
    Configuration, // written by operators: the newest configuration
    Targets, // written by targets: what each says of itself
    Fleet, // written by this product's processes: how they find and trust each other
};

std::string_view toString(KeyedTopic topic);

// One record: the newest value of its key, or the key's removal.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value; // nothing: the key was removed
};

// Records in the order in which they were written.
struct KeyedPage {
    std::vector<KeyedRecord> records;
    Offset next = 0; // of the first record that isn't among them
    std::size_t unreadable = 0; // records left out because they bear no key that can be read
    bool historyExpired = false; // the records asked for are no longer kept: only newest() tells the state
};

// The newest record of every key, as of `next` or later.
struct KeyedSnapshot {
    std::vector<KeyedRecord> records; // all with values
    Offset next = 0; // read() from here
    std::size_t unreadable = 0; // as in KeyedPage
};

// Access to the platform's store. Errors of all calls: PlatformUnavailable when the store refused or gave no answer;
// Conflict from append() when the topic has grown beyond `expectedEnd`.
struct KeyedStore {
    template<typename T>
    using Response = boost::asio::awaitable<Result<T>>;

    // Returns the records from `from` on; waits up to `wait` for one when there is none.
    std::function<Response<KeyedPage>(KeyedTopic, Offset from, Millis wait)> read;
    std::function<Response<KeyedSnapshot>(KeyedTopic)> newest;
    // Appends records of the product's own, all or none; only where the topic ends if `expectedEnd` is given. After
    // PlatformUnavailable they may or may not have been appended.
    std::function<Response<void>(KeyedTopic, std::vector<KeyedRecord>, std::optional<Offset> expectedEnd)> append;
};

} // namespace mulberryplank
