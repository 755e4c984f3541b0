#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/event.h"

namespace mulberryplank
{

// Destination and filtering of an EventLog.
struct EventLogSettings {
    std::string file; // appended to; empty: write to standard error
    Severity threshold = Severity::Info; // minimum severity that is written
    std::vector<std::string> secrets; // texts that must never be written, such as keys read from key files
    std::optional<int> descriptor {}; // used if `file` is empty; written to without blocking
};

// Writes events through log4cxx, one line per event:
//     2026-12-02T18:30:55.123Z WARN 501 target-ejected service=proofroom target=pr-3 detail="3 of 4 proxies agree"
// Timestamps are in UTC with millisecond precision. A process must not have more than one EventLog at a time.
//
// A secret can reach a log by mistake in two ways: through a new field that holds one, such as a request's headers, or
// through a harmless field whose text quotes one, such as an error's detail. Such a leak is noticed only after an
// unauthorized person has read the log. Therefore the value of a field whose key isn't listed in eventFields() is
// withheld, and so is every text that matches one of `secrets` or follows "Bearer " or "Basic ".
class EventLog
{
public:
    explicit EventLog(const EventLogSettings &settings);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    // Writes one event. Thread-safe.
    void write(Event event, std::initializer_list<EventField> fields);

    // Returns the number of lines dropped because the reader fell behind or the rate limit was exceeded.
    std::uint64_t linesDropped() const;

    // Returns a sink that calls write(). The sink must not outlive this log.
    EventSink sink();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

// Returns the part of an event's line that follows time and level. Values with blanks, quotes, equals signs or control
// characters are quoted and escaped with \" \\ \n \r and \xNN, so that a value can't forge another line or field.
std::string formatEvent(Event event, std::initializer_list<EventField> fields, const std::vector<std::string> &secrets);

} // namespace mulberryplank
