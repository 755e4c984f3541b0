#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mulberryplank/policy/configtable.h"
#include "mulberryplank/policy/logpage.h"

namespace mulberryplank
{

// The state of the log relative to its reader, as found in one page.
enum class LogFinding : std::uint8_t {
    Current, // nothing new
    NewRecords, // there are records to apply
    Expired, // the log no longer keeps the next record: a snapshot is needed first
    RolledBack, // this isn't the log that the reader has applied: it lost its tail or was recreated
    Malformed, // the page is inconsistent
};

std::string_view toString(LogFinding finding);

struct LogCheckResult {
    LogFinding finding = LogFinding::Current;
    std::vector<LogRecord> update; // the records to apply, in order, without a gap
    std::string detail; // human-readable
};

// Returns the offset to start reading at so that checkLog() can verify that the log is still the same: one record
// before `applied`, if there is one.
Offset verificationOffset(Offset applied);

// Checks a page that was read from verificationOffset(applied) on. The reader has applied the records before `applied`,
// the last of which has the digest `last`.
LogCheckResult checkLog(Offset applied, const RecordDigest &last, LogPage page);

// Decides when a snapshot has to be published. The log keeps records for a limited time, so records and snapshots both
// expire; a proxy that starts after that would find neither. Thread-compatible.
class SnapshotSchedule
{
public:
    struct Settings {
        Duration interval = Seconds(600); // much shorter than the time that the log keeps records
        Duration delayPerRank = Seconds(5); // additional delay per rank, so that usually only one proxy publishes
    };

    explicit SnapshotSchedule(Settings settings);

    // Records that a complete snapshot at `next` exists. Its last part is record `at` of the snapshots' stream. Calling
    // it again with the same `at` doesn't count as a renewal.
    void seen(Offset next, Offset at, Instant now);

    // Returns true if a snapshot at `applied` should be published now. `log` is the config stream's extent as last
    // read; `rank` is this proxy's rank among those that publish, from 0. Publishing twice is harmless: the same offset
    // gives the same bytes.
    bool isDue(Offset applied, const LogPage &log, std::size_t rank, Instant now) const;

private:
    bool isNearExpiry(const LogPage &log) const;

    Settings m_settings;
    Offset m_newest = 0;
    std::optional<Offset> m_newestAt;
    Instant m_newestSeen {};
};

} // namespace mulberryplank
