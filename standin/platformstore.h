#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "httpserver.h"

namespace standin
{

// Ways in which the store fails, each in force until it is changed.
struct PlatformStoreFaults {
    bool refuse = false; // every call is answered 503: nothing was done
    bool unresponsive = false; // no call is answered; appends aren't done
    bool loseAppendResponses = false; // appends are done and not answered, and their connections end
    std::chrono::milliseconds delay { 0 }; // before each answer
    std::size_t chunkSize = 0; // answers are sent in pieces of so many bytes; 0: at once
    std::chrono::milliseconds chunkDelay { 0 }; // before each of them
    std::uint64_t staleBy = 0; // reads of the newest records are so many records behind
};

// The users' metadata store over HTTP, by their published protocol, as far as the product uses it: appends, with the
// condition of an offset; reads that wait; the newest record of each key; history that is dropped. One partition for
// each topic, whose names begin with "keyed.". Used by one thread.
class PlatformStore
{
public:
    PlatformStore(asio::io_context &context, const std::string &address, std::uint16_t port);
    PlatformStore(const PlatformStore &) = delete;
    PlatformStore &operator=(const PlatformStore &) = delete;

    // Returns the port that was bound.
    std::uint16_t port() const;

    // Ends the service; see HttpServer.
    void stop();

    // Appends a record as operators and targets do. An empty value removes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    // Forgets all records of a topic but the newest of each key.
    void dropHistory(const std::string &topic);

    // Returns the requestCount so far, those that failed included.
    std::uint64_t requestCount() const;

    PlatformStoreFaults faults;

private:
    struct Record {
        std::string key;
        std::string value; // empty: the key was removed
    };
    struct Topic {
        std::vector<Record> records;
        std::uint64_t first = 0; // that is kept
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
    std::vector<asio::steady_timer *> m_waitingReads; // of reads for which there is no record yet
    std::uint64_t m_requestCount = 0;
    HttpServer m_server;
};

} // namespace standin
