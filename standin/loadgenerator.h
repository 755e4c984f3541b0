#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "commandline.h"
#include "httpserver.h"

namespace standin
{

struct LoadSettings {
    std::vector<Address> targets; // connections take them in turn
    std::string method = "GET";
    std::string path = "/";
    std::string body;
    std::string expected; // must stand in the body of each answer with status 200; {n} as in headers
    std::vector<std::pair<std::string, std::string>> headers; // {n} in a value becomes the request's number
    std::size_t requests = 0; // ends after so many
    double seconds = 0; // and ends after so long, whichever comes first
    std::size_t connections = 1;
    std::size_t threads = 1;
    double rate = 0; // requests a second, sent at fixed times whatever the answers do; 0: each after the last answer
    double timeoutMs = 10'000; // for connecting, and for one request with its answer
};

// What a run of the generator measured.
struct LoadReport {
    double seconds = 0;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t connectFailures = 0;
    std::uint64_t timeouts = 0;
    std::uint64_t broken = 0; // the connection ended before the whole answer was there
    std::uint64_t mismatched = 0; // answers with status 200 that lack the text expected
    std::uint64_t bodyBytes = 0;
    std::map<unsigned, std::uint64_t> statuses;
    std::vector<double> latenciesMs; // of answered requests, in ascending order

    // Returns the latency that `share` of the answered requests stayed within, in milliseconds; 0 when none was.
    double percentile(double share) const;

    // Adds the counts of another connection's report.
    void add(const LoadReport &other);

    // Returns the report for programs and for people.
    boost::json::object toJson() const;
    std::string toText() const;
};

// Sends requests over a number of connections and measures. With a rate, latency counts from the time at which a
// request should have been sent: a stall that delays the requests behind it counts against each of them, instead of
// only against the one that was on its way (coordinated omission). Such latencies include the wait for a connection.
class LoadGenerator
{
public:
    explicit LoadGenerator(LoadSettings settings);
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    // Runs to its end on threads of its own and returns what was measured. To be called once.
    LoadReport run();

private:
    struct Client;

    asio::awaitable<void> runClient(Client &client);
    asio::awaitable<bool> connect(Client &client);
    asio::awaitable<void> sendRequest(Client &client, std::uint64_t number, Instant scheduledAt);
    Request makeRequest(const Client &client, std::uint64_t number) const;

    LoadSettings m_settings;
    std::atomic<std::uint64_t> m_nextNumber { 0 };
    Instant m_begin;
    Instant m_end;
};

} // namespace standin
