#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "mulberryplank/policy/configtable.h"

namespace mulberryplank
{

// Consecutive records of the config stream on their way from one reader to another.
struct ConfigUpdate {
    Offset from = 0; // of the first record
    RecordDigest before {}; // of the record before `from`: tells whether both readers follow the same log
    std::vector<std::string> records;

    bool operator==(const ConfigUpdate &) const = default;
};

// The last records that a reader has applied, kept for peers that lag behind it a little. Bounded in bytes. Not
// synchronized.
class RecordTail
{
public:
    explicit RecordTail(std::size_t maxBytes);

    // Adds the record at `offset`. A record that doesn't follow the one before it begins a new tail.
    void add(Offset offset, const RecordDigest &before, std::string record);

    // Returns the records from `from` on, or nothing when the tail doesn't reach back so far.
    std::optional<ConfigUpdate> since(Offset from) const;

private:
    struct Entry {
        RecordDigest before;
        std::string record;
    };

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    Offset m_next = 0;
    std::deque<Entry> m_entries;
};

} // namespace mulberryplank
