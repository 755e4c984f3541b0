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

// How the time that a request takes is distributed about its mean.
enum class ServiceTime : std::uint8_t {
    Fixed,
    LogNormal, // heavy-tailed: about one request in a hundred takes six times the mean
};

struct TargetSettings {
    std::string name; // "target-PORT" unless given
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t slots = 4; // 0: unlimited
    std::size_t queue = 4; // requests that may wait for a slot; more are shed
    double serviceMs = 0; // mean
    ServiceTime distribution = ServiceTime::Fixed;
    double probeMs = 0; // what answering the health endpoint takes of a slot
    std::chrono::milliseconds cold { 0 }; // from the start on; everything takes longer meanwhile
    std::uint64_t seed = 1;
    std::size_t maxBody = std::size_t { 64 } << 20;
};

// What a target did so far.
struct TargetCounters {
    std::uint64_t started = 0; // got a slot and began to run
    std::uint64_t finished = 0; // answered in full
    std::uint64_t cancelled = 0; // the connection closed before the respond was out, before or after the start
    std::uint64_t shed = 0; // 503, not run
    std::uint64_t late = 0; // 504, not run: no slot before the deadline
    std::uint64_t startedWhileLeaving = 0;
    std::uint64_t probes = 0; // calls of the health endpoint
};

// A target of a service, as docs/PLATFORM.md describes it, with faults that can be switched over HTTP while it runs.
class Target
{
public:
    Target(asio::io_context &context, TargetSettings settings, Clock clock);
    Target(const Target &) = delete;
    Target &operator=(const Target &) = delete;

    // Returns the port that was bound.
    std::uint16_t port() const;

    // Returns what it did so far.
    const TargetCounters &counters() const;

    // Ends it; see HttpServer.
    void stop();

private:
    struct ResponseContent {
        std::string requestId;
        std::string body;
    };
    // What befalls an respond, drawn once per request.
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
