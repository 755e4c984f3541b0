#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mulberryplank/policy/configtable.h"
#include "mulberryplank/policy/logpage.h"

namespace mulberryplank
{

// What a page of the log means to a reader.
enum class LogFinding : std::uint8_t {
    Current, // nothing new
    NewRecords, // there are records to apply
    Expired, // the next record is gone: a snapshot is needed first
    RolledBack, // this isn't the log that the reader has applied: it lost its tail, or was made anew
    Malformed, // the page contradicts itself
};

std::string_view toString(LogFinding finding);

struct LogCheckResult {
    LogFinding finding = LogFinding::Current;
    std::vector<LogRecord> update; // to apply, in order, without a gap
    std::string detail; // for people
};

// Returns the offset to read from, so that checkLog() can tell whether it is still the same log: one record before
// `applied`, where there is one.
Offset verificationOffset(Offset applied);

// Judges a page that was read from verificationOffset(applied) on, for a reader that has applied the records before
// `applied`, the last of which has the digest `last`.
LogCheckResult checkLog(Offset applied, const RecordDigest &last, LogPage page);

// Decides when a snapshot has to be published. The log keeps records for a limited time, so that both the records and
// the snapshots themselves vanish; a proxy that starts after that would find neither. Not synchronized.
class SnapshotSchedule
{
public:
    struct Settings {
        Duration interval = Seconds(600); // much less than the time that the log keeps records
        Duration delayPerRank = Seconds(5); // how much longer each further proxy waits, so that mostly one publishes
    };

    explicit SnapshotSchedule(Settings settings);

    // Takes note of a complete snapshot at `next`, the last part of which is record `at` of its stream. One that was
    // noted before doesn't count as renewed.
    void seen(Offset next, Offset at, Instant now);

    // Returns true if a snapshot at `applied` should be published now. `log` is the config stream's extent as last
    // read; `rank` is this proxy's place among those that publish, from 0. Publishing twice does no harm: the same
    // offset gives the same bytes.
    bool isDue(Offset applied, const LogPage &log, std::size_t rank, Instant now) const;

private:
    bool isNearExpiry(const LogPage &log) const;

    Settings m_settings;
    Offset m_newest = 0;
    std::optional<Offset> m_newestAt;
    Instant m_newestSeen {};
};

} // namespace mulberryplank
