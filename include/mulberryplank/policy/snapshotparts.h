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

private:
    struct Parts {
        std::size_t count = 0;
        std::map<std::size_t, std::string> data;
    };
    using Key = std::pair<Offset, std::string>; // offset and digest of the whole

    std::map<Key, Parts> m_snapshots;
};

} // namespace mulberryplank
