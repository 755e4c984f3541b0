#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/configmodel.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// One record as read from a stream of the platform's log.
struct LogRecord {
    Offset offset = 0;
    std::string data;
};

// A page of a stream.
struct LogPage {
    Offset first = 0; // the oldest record that the log still keeps
    Offset next = 0; // the offset that the next append will get
    std::vector<LogRecord> records; // in order, from the offset asked for or `first`, whichever is later
};

// The platform's log service, as docs/PLATFORM.md describes it. One client may be used by several coroutines of the
// same io_context.
class LogClient
{
public:
    LogClient(boost::asio::io_context &context, Endpoint service, Duration timeout);

    // Returns the records of `stream` from offset `from` on, at most `most`. Waits up to `wait` for a record to arrive
    // when there is none. Errors: PlatformUnavailable.
    boost::asio::awaitable<Result<LogPage>> read(std::string stream, Offset from, std::size_t most, Millis wait);

    // Appends a record and returns its offset. After PlatformUnavailable the record may or may not have been appended:
    // only reading it back tells.
    boost::asio::awaitable<Result<Offset>> append(std::string stream, std::string record);

private:
    boost::asio::io_context &m_context;
    Endpoint m_service;
    Duration m_timeout;
};

// The streams that the product uses.
inline constexpr const char *ConfigStream = "config";
inline constexpr const char *SnapshotStream = "snapshots";

} // namespace mulberryplank
