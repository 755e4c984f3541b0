#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/policy/configtable.h"

namespace mulberryplank
{

// Returns the records that carry a snapshot through the log, each within MaxRecordSize.
std::vector<std::string> splitSnapshot(Offset next, std::string_view snapshot);

// The records that carry a table's snapshot through the log, the same as splitSnapshot() gives. They are encoded one at
// a time and what has been taken is freed. The table may change meanwhile. Not synchronized.
class SnapshotParts
{
public:
    explicit SnapshotParts(const ConfigTable &table);
    SnapshotParts(const SnapshotParts &) = delete;
    SnapshotParts &operator=(const SnapshotParts &) = delete;

    // Returns the next record. Only to be called while taken() is below count().
    std::string takeNext();

    // Returns ConfigTable::nextOffset() of the table as it was.
    Offset next() const;

    std::size_t count() const;
    std::size_t taken() const;

private:
    Offset m_next = 0;
    std::string m_digest;
    std::vector<std::string> m_data;
    std::size_t m_taken = 0;
};

// Returns the offset of the snapshot that `record` is the last part of, or nothing if it is something else.
std::optional<Offset> snapshotEndedBy(std::string_view record);

// Puts snapshots together again from the records of the log. Parts of several publishers may be mixed: the same offset
// gives the same bytes. Not synchronized.
class SnapshotAssembler
{
public:
    // Takes one record; what doesn't parse is left out.
    void add(std::string_view record);

    // Returns the complete snapshot with the highest offset, or nothing.
    struct Snapshot {
        Offset next = 0;
        std::string bytes;
    };
    std::optional<Snapshot> newest() const;

    // Returns the same in the pieces that it came in, and forgets everything, so that it is in memory once.
    std::optional<std::vector<std::string>> takeNewest();

private:
    struct Parts {
        std::size_t count = 0;
        std::map<std::size_t, std::string> data;
    };
    using Key = std::pair<Offset, std::string>; // offset and digest of the whole

    bool isComplete(const Key &key, const Parts &parts) const;

    std::map<Key, Parts> m_snapshots;
};

} // namespace mulberryplank
