#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "httpserver.h"

namespace standin
{

// How long records are kept. A record goes as soon as either limit is passed.
struct Retention {
    std::size_t records = 1'000'000; // per stream
    std::chrono::seconds age { 7 * 24 * 3600 };
};

// One record with its place in the stream.
struct LogRecord {
    std::uint64_t offset = 0;
    std::string data;
};

// What a read returns: the oldest offset kept, the offset of the next append, and the records in order.
struct LogPage {
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<LogRecord> records;
};

// The streams of the log service, without any I/O. Offsets of a stream grow by one for each record.
class LogStore
{
public:
    explicit LogStore(Retention retention);
    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;

    // Appends a record and returns its offset. A stream comes into being with its first record.
    std::uint64_t append(const std::string &stream, std::string data, Instant now);

    // Returns at most `max` records, and at most 8 MiB beyond the first, from `from` or the oldest kept on.
    LogPage read(const std::string &stream, std::uint64_t from, std::size_t max, Instant now);

    // Drops the last `count` records of every stream, so that their offsets are given out again.
    void loseTail(std::size_t count);

    // Forgets everything; offsets start from 0 again.
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
