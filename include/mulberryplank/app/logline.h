#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/event.h"

namespace mulberryplank
{

// One field of a log line, with its unquoted value.
struct LogField {
    std::string key;
    std::string value;
};

// One parsed log line.
struct LogLine {
    std::string time; // in UTC; the text sorts chronologically
    std::string level;
    int number = 0;
    std::string name;
    std::vector<LogField> fields;

    // Returns true if the line reports `event`.
    bool is(Event event) const;

    // Returns the field's value, or an empty string if the line lacks the field.
    std::string field(std::string_view key) const;
};

// Parses a line written by EventLog, without its line break. Returns nullopt for any other text.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace mulberryplank
