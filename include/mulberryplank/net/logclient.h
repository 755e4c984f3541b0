#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/logpage.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// The platform's log service, as docs/PLATFORM.md describes it. One client may be used by several coroutines of the
// same io_context.
class LogClient
{
public:
    LogClient(boost::asio::io_context &context, Endpoint service, Duration timeout);
    ~LogClient();
    LogClient(const LogClient &) = delete;
    LogClient &operator=(const LogClient &) = delete;

    // Returns the records of `stream` from offset `from` on, at maxRecords `maxRecords`. Waits up to `wait` for a
    // record to arrive when there is none. Errors: PlatformUnavailable.
    boost::asio::awaitable<Result<LogPage>> read(std::string stream, Offset from, std::size_t maxRecords, Millis wait);

    // Appends a record and returns its offset. After PlatformUnavailable the record may or may not have been appended:
    // only reading it back tells.
    boost::asio::awaitable<Result<Offset>> append(std::string stream, std::string record);

private:
    struct Connection;
    struct Request;

    boost::asio::awaitable<Result<std::string>> exchange(Request request, Duration limit);
    boost::asio::awaitable<Result<std::string>> exchangeOn(Connection &connection, const Request &request);
    std::unique_ptr<Connection> popIdle();

    boost::asio::io_context &m_context;
    Endpoint m_service;
    Duration m_timeout;
    std::vector<std::unique_ptr<Connection>> m_idle;
};

// The streams that the product uses.
inline constexpr const char *ConfigStream = "config";
inline constexpr const char *SnapshotStream = "snapshots";

} // namespace mulberryplank
