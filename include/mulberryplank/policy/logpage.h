#pragma once

#include <string>
#include <vector>

#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// One record as read from a stream of the platform's log.
struct LogRecord {
    Offset offset = 0;
    std::string data;

    bool operator==(const LogRecord &) const = default;
};

// A page of a stream.
struct LogPage {
    Offset first = 0; // the oldest record that the log still keeps
    Offset next = 0; // the offset that the next append will get
    std::vector<LogRecord> records; // in order, from the requested offset or `first`, whichever is later
};

} // namespace mulberryplank
