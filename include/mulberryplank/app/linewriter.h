#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// What stands before the number of dropped lines, on a line of its own.
inline constexpr std::string_view LinesDroppedPrefix = "log-lines-dropped count=";

struct LineWriterSettings {
    std::size_t bufferBytes = 64 * 1024; // what the reader may be behind by
    // Of routine lines: some 50 KB a second.
    double linesPerSecond = 200;
    double burstLines = 400;
    // Of important ones, besides. One in ten requests may fail at a thousand requests a second with all that is told of
    // it, some three lines.
    double importantPerSecond = 300;
    double importantBurst = 600;
};

// Lets so many lines through in a second, and some more at once after a pause. Not synchronized.
class LineRate
{
public:
    LineRate(double perSecond, double burst);

    // Returns true if one more line may go through now.
    [[nodiscard]] bool tryAcquire(Instant now);

private:
    const double m_perSecond;
    const double m_burst;
    double m_tokens;
    Instant m_filledAt {};
};

// Writes lines to a file descriptor without ever waiting for it: a process must not stand still because whoever reads
// its log has stopped reading. Lines that don't fit, or come too fast, are dropped and counted; the next line that gets
// through is preceded by one that says how many were. May be used by any thread.
class LineWriter
{
public:
    // Makes `descriptor` non-blocking. It must stay open as long as the writer.
    LineWriter(int descriptor, LineWriterSettings settings);
    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    // Writes `line`, which ends with a line break. Important ones have a rate of their own, so that routine lines can't
    // crowd them out.
    void write(std::string_view line, bool important, Instant now);

    // Returns how many lines were dropped so far.
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
    std::uint64_t m_reportedDropped = 0; // of the dropped
};

} // namespace mulberryplank
