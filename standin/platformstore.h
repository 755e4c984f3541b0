#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "httpserver.h"

namespace standin
{

// The faults of the store. Each is active until it is changed.
struct PlatformStoreFaults {
    bool refuse = false; // every request gets 503 and has no effect
    bool unresponsive = false; // no request gets a response; appends have no effect
    bool loseAppendResponses = false; // appends take effect, then the connection is reset without a response
    std::chrono::milliseconds delay { 0 }; // before each response
    std::size_t chunkSize = 0; // responses are sent in chunks of this many bytes; 0: all at once
    std::chrono::milliseconds chunkDelay { 0 }; // before each chunk
    std::uint64_t staleBy = 0; // number of records by which reads of the newest records lag
};

// The users' metadata store over HTTP. Implements the part of its published protocol that the product uses: appends
// with an optional expected offset, long-polling reads, the newest record of each key, and dropped history. Each topic
// has one partition, and its name begins with "keyed.". Thread-compatible.
class PlatformStore
{
public:
    PlatformStore(asio::io_context &context, const std::string &address, std::uint16_t port);
    PlatformStore(const PlatformStore &) = delete;
    PlatformStore &operator=(const PlatformStore &) = delete;

    // Returns the bound port.
    std::uint16_t port() const;

    // Stops the service; see HttpServer.
    void stop();

    // Appends a record, like operators and targets do. An empty value removes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    // Drops the history of a topic. Only the newest record of each key remains readable.
    void dropHistory(const std::string &topic);

    // Comes back from an older copy of itself, which lacks the last `count` records of a topic. Its era rises.
    void loseLast(const std::string &topic, std::size_t count);

    // Returns the number of times that the store came back from an older copy, plus one.
    std::uint64_t era() const;

    // Returns the number of requests received, including those that failed.
    std::uint64_t requestCount() const;

    PlatformStoreFaults faults;

private:
    struct Record {
        std::string key;
        std::string value; // empty when the key was removed
    };
    struct Topic {
        std::vector<Record> records;
        std::uint64_t first = 0; // oldest offset that can still be read
    };

    asio::awaitable<ConnectionAction> handle(Connection &connection);
    asio::awaitable<ConnectionAction> sendInChunks(Connection &connection, Response response) const;
    asio::awaitable<Response> read(Connection &connection, Topic &topic);
    static Response page(const Topic &topic, std::uint64_t from);
    Response append(const Request &request, Topic &topic);
    Response newest(const Topic &topic) const;
    void wakeReaders();

    asio::io_context &m_context;
    std::map<std::string, Topic> m_topics;
    std::vector<asio::steady_timer *> m_waitingReads; // timers of the reads that wait for a record
    std::uint64_t m_era = 1;
    std::uint64_t m_requestCount = 0;
    HttpServer m_server;
};

} // namespace standin
