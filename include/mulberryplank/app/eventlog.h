#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/event.h"

namespace mulberryplank
{

// Where and how much an EventLog writes.
struct EventLogSettings {
    std::string file; // appended to; empty: standard error
    Severity threshold = Severity::Info; // the least level that is written
    std::vector<std::string> secrets; // texts that must never be written, such as the keys of the key files
    std::optional<int> descriptor {}; // without a file: written to without waiting for its reader
};

// Writes events through log4cxx, one line each:
//     2026-12-02T18:30:55.123Z WARN 501 target-ejected service=proofroom target=pr-3 detail="3 of 4 proxies agree"
// The time is in UTC, with milliseconds. One process has one EventLog at a time.
//
// A secret could get into a log by mistake in two ways: a new field is handed over that holds one (a request's
// headers, say), or a harmless field's text happens to quote one (an error's detail). One would notice it only when
// somebody reads the log who shouldn't know it. So a field whose key isn't on eventFields()' closed list is written
// without its value, and every text that matches one of `secrets`, or follows "Bearer " or "Basic ", is blotted out.
class EventLog
{
public:
    explicit EventLog(const EventLogSettings &settings);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    // Writes one event. May be called from any thread.
    void write(Event event, std::initializer_list<EventField> fields);

    // Returns how many lines were dropped because their reader was behind or they came too fast.
    std::uint64_t linesDropped() const;

    // Returns a sink that calls write(). It must not be called after this log is gone.
    EventSink sink();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

// Returns the line for an event as it stands after time and level. Values that hold blanks, quotes, equals signs or
// control characters are quoted, with \" \\ \n \r and \xNN inside, so that a value can't pretend to be another line
// or field.
std::string formatEvent(Event event, std::initializer_list<EventField> fields, const std::vector<std::string> &secrets);

} // namespace mulberryplank
