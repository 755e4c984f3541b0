#pragma once

#include <optional>
#include <random>
#include <vector>

#include "download.h"
#include "httpserver.h"
#include "runcounts.h"
#include "slots.h"
#include "targetfaults.h"

namespace standin
{

// The distribution of the service time of requests around its mean.
enum class ServiceTime : std::uint8_t {
    Fixed,
    LogNormal, // heavy-tailed: about 1 request in 100 takes six times the mean
};

struct TargetSettings {
    std::string name; // "target-PORT" by default
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t slots = 4; // 0: unlimited
    std::size_t queue = 4; // maximum number of requests that wait for a slot; further requests are shed
    double serviceMs = 0; // mean
    ServiceTime distribution = ServiceTime::Fixed;
    double probeMs = 0; // time for which a request for the health endpoint occupies a slot
    std::chrono::milliseconds cold { 0 }; // time from the start during which all requests take longer
    std::uint64_t seed = 1;
    std::size_t maxBody = std::size_t { 64 } << 20;
};

// The counters of a target since its start.
struct TargetCounters {
    std::uint64_t started = 0; // requests that got a slot and started to run
    std::uint64_t finished = 0; // requests with a complete response
    std::uint64_t cancelled =
        0; // the connection closed before the response was sent, before or after the request started
    std::uint64_t shed = 0; // rejected with 503, not run
    std::uint64_t late = 0; // rejected with 504, not run: no slot was free before the deadline
    std::uint64_t startedWhileLeaving = 0;
    std::uint64_t probes = 0; // requests for the health endpoint
};

// A target of a service, as described in docs/PLATFORM.md. Its faults can be changed over HTTP while it runs.
class Target
{
public:
    Target(asio::io_context &context, TargetSettings settings, Clock clock);
    Target(const Target &) = delete;
    Target &operator=(const Target &) = delete;

    // Returns the bound port.
    std::uint16_t port() const;

    // Returns the counters since the start.
    const TargetCounters &counters() const;

    // Stops the target; see HttpServer.
    void stop();

private:
    struct ResponseContent {
        std::string requestId;
        std::string body;
    };
    // How a response is sent or fails, drawn at random once per request.
    enum class Outcome : std::uint8_t {
        Whole,
        Error,
        Truncated,
        Stalled,
        Hung,
        Reset,
    };

    asio::awaitable<ConnectionAction> handle(Connection &connection);
    asio::awaitable<ConnectionAction> handleProbe(Connection &connection);
    asio::awaitable<ConnectionAction> handleWork(Connection &connection);
    asio::awaitable<ConnectionAction> run(Connection &connection);
    asio::awaitable<ConnectionAction> reject(Connection &connection, Admission admission);
    asio::awaitable<ConnectionAction> respond(Connection &connection, Outcome outcome);
    asio::awaitable<ConnectionAction> download(Connection &connection, std::uint64_t size, Outcome outcome);
    asio::awaitable<bool> waitServiceTime(Connection &connection, double normalMs);
    asio::awaitable<bool> holdIfRequested(Connection &connection);
    std::string downloadHead(const Request &request, const RangeSelection &range, std::uint64_t size) const;
    ConnectionAction finished(bool delivered);

    Response handleControl(const Connection &connection, std::string_view path);
    Response health() const;
    Response load() const;
    Response drain(const std::string &body);
    Response faults(const Connection &connection);
    Response countersResponse() const;
    Response makeResponse(const Request &request);
    void updateFaults(const Connection &connection);
    void addHeaders(Response &response, std::string_view requestId) const;

    TargetFaults currentFaults() const;
    Instant deadlineOf(const Request &request) const;
    Outcome drawOutcome(const TargetFaults &faults);
    double drawServiceMs();
    bool cold() const;
    std::size_t reportedLoad() const;

    asio::io_context &m_context;
    TargetSettings m_settings;
    Clock m_clock;
    Instant m_startedAt;
    Slots m_slots;
    RunCounts m_runs;
    TargetCounters m_counters;
    TargetFaults m_faults;
    Instant m_faultsAt;
    std::vector<asio::steady_timer *> m_heldRequests;
    std::mt19937_64 m_random;
    ResponseContent m_previous;
    bool m_leaving = false;
    HttpServer m_server;
};

} // namespace standin
