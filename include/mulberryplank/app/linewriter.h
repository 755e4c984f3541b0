#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

struct LineWriterSettings {
    std::size_t bufferBytes = 64 * 1024; // what the reader may be behind by
    double linesPerSecond = 200; // of lines that may be dropped: some 50 KB a second
    double burstLines = 400;
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

    // Writes `line`, which ends with a line break. An `important` one isn't held to the rate.
    void write(std::string_view line, bool important, Instant now);

    // Returns how many lines were dropped so far.
    std::uint64_t dropped() const;

private:
    bool takeToken(Instant now);
    void flush();

    const int m_descriptor;
    const LineWriterSettings m_settings;
    mutable std::mutex m_mutex;
    std::string m_pending;
    double m_tokens;
    Instant m_filledAt {};
    std::uint64_t m_dropped = 0;
    std::uint64_t m_told = 0; // of the dropped
};

} // namespace mulberryplank
