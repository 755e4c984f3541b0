#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Prefix of the line that reports the number of dropped lines.
inline constexpr std::string_view LinesDroppedPrefix = "log-lines-dropped count=";

struct LineWriterSettings {
    std::size_t bufferBytes = 64 * 1024; // unread output that is buffered
    // Rate limit of routine lines: about 50 KB a second.
    double linesPerSecond = 200;
    double burstLines = 400;
    // Separate rate limit of important lines. At 1,000 requests a second, one request in ten may fail, and each failure
    // logs about three lines.
    double importantPerSecond = 300;
    double importantBurst = 600;
};

// A token bucket that limits the rate of lines. Thread-compatible.
class LineRate
{
public:
    LineRate(double perSecond, double burst);

    // Takes a token and returns true if one more line may be written at `now`.
    [[nodiscard]] bool tryAcquire(Instant now);

private:
    const double m_perSecond;
    const double m_burst;
    double m_tokens;
    Instant m_filledAt {};
};

// Writes lines to a file descriptor without blocking, because a process must not stall when the reader of its log stops
// reading. Lines that exceed the buffer or the rate limit are dropped and counted. The next line that is written is
// preceded by a line with the number of dropped lines. Thread-safe.
class LineWriter
{
public:
    // Makes `descriptor` non-blocking. It must outlive the writer.
    LineWriter(int descriptor, LineWriterSettings settings);
    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    // Writes `line`, which must end with a line break. Important lines have a separate rate limit, so that routine
    // lines can't displace them.
    void write(std::string_view line, bool important, Instant now);

    // Returns the total number of dropped lines.
    std::uint64_t dropped() const;

private:
    void flush();

    const int m_descriptor;
    const LineWriterSettings m_settings;
    mutable std::mutex m_mutex;
    std::string m_pending;
    LineRate m_routine;
    LineRate m_important;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0; // part of m_dropped
};

} // namespace mulberryplank
