#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/event.h"

namespace mulberryplank
{

// One field of a line of the log, as it was before it was quoted.
struct LogField {
    std::string key;
    std::string value;
};

// One line of the log, read back.
struct LogLine {
    std::string time; // in UTC, as text that sorts by time
    std::string level;
    int number = 0;
    std::string name;
    std::vector<LogField> fields;

    // Returns true if the line tells of `event`.
    bool is(Event event) const;

    // Returns the field's value, or nothing where the line lacks it.
    std::string field(std::string_view key) const;
};

// Reads a line that EventLog wrote, without its line break. Returns nothing for any other text.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace mulberryplank
