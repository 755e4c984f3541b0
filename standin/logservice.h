#pragma once

#include <boost/json/value.hpp>

#include "httpserver.h"
#include "logstore.h"

namespace standin
{

// The faults of the log service, which can be changed over HTTP while it runs.
struct LogFaults {
    bool outage = false; // all requests except those for faults get 503
    std::chrono::milliseconds delay { 0 }; // before each response
    bool loseResponses = false; // an append takes effect, then the connection closes without a response
    bool corruptNext = false; // the next record is truncated to half its size
};

struct LogServiceSettings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    Retention retention;
    double appendsPerSecond = 0; // appends above this rate get 503; 0: unlimited
};

// The platform's log service over HTTP, as described in docs/PLATFORM.md.
class LogService
{
public:
    LogService(asio::io_context &context, LogServiceSettings settings, Clock clock);
    LogService(const LogService &) = delete;
    LogService &operator=(const LogService &) = delete;

    // Returns the bound port.
    std::uint16_t port() const;

    // Returns the number of reads that wait for a record.
    std::size_t waitingReaders() const;

    // Stops the service; see HttpServer.
    void stop();

private:
    asio::awaitable<ConnectionAction> handle(Connection &connection);
    asio::awaitable<ConnectionAction> append(Connection &connection, const std::string &stream);
    asio::awaitable<ConnectionAction> read(Connection &connection, const std::string &stream);
    asio::awaitable<ConnectionAction> faults(Connection &connection);
    asio::awaitable<ConnectionAction> unavailable(Connection &connection);
    asio::awaitable<bool> waitForRecord(Connection &connection, Instant deadline);
    Response handleFaults(const Request &request);
    void updateFaults(const std::string &body);
    bool admitAppend();
    void wakeReaders();

    asio::io_context &m_context;
    LogServiceSettings m_settings;
    Clock m_clock;
    LogStore m_store;
    LogFaults m_faults;
    std::vector<asio::steady_timer *> m_waitingReads; // timers of the reads that wait for a record
    double m_tokens = 0;
    Instant m_tokensUpdatedAt;
    HttpServer m_server;
};

} // namespace standin
