#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "httpserver.h"

namespace standin
{

// Retention limits of a stream. A record is dropped when either limit is exceeded.
struct Retention {
    std::size_t records = 1'000'000; // maximum per stream
    std::chrono::seconds age { 7 * 24 * 3600 };
};

// A record with its offset in the stream.
struct LogRecord {
    std::uint64_t offset = 0;
    std::string data;
};

// The result of a read: the oldest retained offset, the offset of the next append, and the records by offset.
struct LogPage {
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<LogRecord> records;
};

// The streams of the log service, held in memory. Offsets of a stream are consecutive. Thread-compatible.
class LogStore
{
public:
    explicit LogStore(Retention retention);
    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;

    // Appends a record and returns its offset. The first record of a stream creates it.
    std::uint64_t append(const std::string &stream, std::string data, Instant now);

    // Returns up to `max` records, starting at `from` or the oldest retained record. All records but the first add up
    // to 8 MiB at most.
    LogPage read(const std::string &stream, std::uint64_t from, std::size_t max, Instant now);

    // Drops the last `count` records of every stream. Their offsets are assigned again.
    void loseTail(std::size_t count);

    // Deletes all streams. Offsets start from 0 again.
    void recreate();

private:
    struct StoredRecord {
        std::string data;
        Instant at;
    };
    struct Stream {
        std::uint64_t first = 0;
        std::deque<StoredRecord> records;
    };

    void expire(Stream &stream, Instant now) const;

    Retention m_retention;
    std::map<std::string, Stream, std::less<>> m_streams;
};

} // namespace standin
