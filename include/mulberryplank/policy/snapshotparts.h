#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/policy/configtable.h"

namespace mulberryplank
{

// Returns the log records that a snapshot is split into, each within MaxRecordSize.
std::vector<std::string> splitSnapshot(Offset next, std::string_view snapshot);

// Produces the same log records of a table's snapshot as splitSnapshot(). Records are encoded one at a time, and the
// data of those already returned is freed. The table may change between calls. Thread-compatible.
class SnapshotParts
{
public:
    explicit SnapshotParts(const ConfigTable &table);
    SnapshotParts(const SnapshotParts &) = delete;
    SnapshotParts &operator=(const SnapshotParts &) = delete;

    // Returns the next record. Must be called only while taken() is below count().
    std::string takeNext();

    // Returns ConfigTable::nextOffset() of the table at the time of construction.
    Offset next() const;

    std::size_t count() const;
    std::size_t taken() const;

private:
    Offset m_next = 0;
    std::string m_digest;
    std::vector<std::string> m_data;
    std::size_t m_taken = 0;
};

// Returns the offset of the snapshot of which `record` is the last part, or nothing if it is any other record.
std::optional<Offset> snapshotEndedBy(std::string_view record);

// Reassembles snapshots from the records of the log. Parts from several publishers may be mixed, since the same offset
// gives the same bytes. Thread-compatible.
class SnapshotAssembler
{
public:
    // Adds one record. Records that can't be parsed are ignored.
    void add(std::string_view record);

    // Returns the complete snapshot with the highest offset, or nothing.
    struct Snapshot {
        Offset next = 0;
        std::string bytes;
    };
    std::optional<Snapshot> newest() const;

    // Returns the same snapshot in the pieces in which it arrived, and clears all data, so that it isn't in memory
    // twice.
    std::optional<std::vector<std::string>> takeNewest();

private:
    struct Parts {
        std::size_t count = 0;
        std::map<std::size_t, std::string> data;
    };
    using Key = std::pair<Offset, std::string>; // offset and digest of the whole snapshot

    bool isComplete(const Key &key, const Parts &parts) const;

    std::map<Key, Parts> m_snapshots;
};

} // namespace mulberryplank
