#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "mulberryplank/policy/configtable.h"

namespace mulberryplank
{

// Consecutive records of the config stream, as sent from one process to another.
struct ConfigUpdate {
    Offset from = 0; // of the first record
    RecordDigest before {}; // of the record before `from`; shows whether both processes follow the same log
    std::vector<std::string> records;

    bool operator==(const ConfigUpdate &) const = default;
};

// Keeps the last records that a process has applied, for peers that are slightly behind. Bounded in bytes.
// Thread-compatible.
class RecordTail
{
public:
    explicit RecordTail(std::size_t maxBytes);

    // Adds the record at `offset`. A record that isn't the direct successor of the previous one starts a new tail.
    void add(Offset offset, const RecordDigest &before, std::string record);

    // Returns the records from `from` on, or nothing if the tail doesn't reach back that far.
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
