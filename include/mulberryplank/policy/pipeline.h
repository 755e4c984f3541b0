#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mulberryplank
{

// The bounds of the requests that one connection may have in progress.
struct PipelineLimits {
    std::size_t maxRequests = 8; // read and not yet delivered
    std::size_t maxWaitingBytes = 256 * 1024; // of finished responses that wait for an earlier one
};

// How a request relates to those before and behind it.
enum class PipelineMode : std::uint8_t {
    Concurrent, // may run beside other concurrent requests; idempotent
    Streaming, // as Concurrent, but no request behind it is read before its response is written
    Exclusive, // waits for those before it, and those behind it wait for it
};

// The order of the requests that a caller sends behind one another on a connection (pipelining). Decides whether the
// next request may be read, which requests may start, whose response is delivered next, and which requests are dropped
// behind a response that closes the connection. Does no I/O.
class PipelineOrder
{
public:
    // Identifies a request of the connection; rises in the order of reading. 0 identifies none.
    using Id = std::uint64_t;

    explicit PipelineOrder(PipelineLimits limits = {});

    // Adds a request that was read, behind all others.
    Id add(PipelineMode mode);

    // Changes the mode of a request once more is known of it than when it was added. Does nothing if it isn't in
    // progress.
    void setMode(Id request, PipelineMode mode);

    // Returns true if the next request may be read: neither bound is reached, all requests in progress are concurrent
    // and the connection stays open.
    bool mayRead() const;

    // Returns true if one of the bounds is reached.
    bool isFull() const;

    // Returns true if the request may be passed on to a target. False for a request that was dropped.
    bool mayStart(Id request) const;

    // Records that the response of a request is complete and waits for those before it, with `bytes` of memory.
    void finish(Id request, std::size_t bytes);

    // Returns true if the response of the request is to be delivered next.
    bool isFirst(Id request) const;

    // Returns true if no other request was read after this one.
    bool isLast(Id request) const;

    // Records that the response of the request closes the connection. The requests behind it are dropped and no further
    // one may be read. Returns the number of dropped requests.
    std::size_t close(Id request);

    // Returns true if the request is no longer in progress: it was delivered, or dropped by close().
    bool isGone(Id request) const;

    // Records that the response of the request was written, or will never be. Does nothing if it isn't in progress.
    void remove(Id request);

    // Returns true if no request is in progress.
    bool isEmpty() const;

    // Returns the number of requests in progress.
    std::size_t size() const;

    // Returns true after close().
    bool isClosed() const;

    // Returns the bytes of the finished responses that wait for an earlier one.
    std::size_t waitingBytes() const;

private:
    struct Entry {
        Id id = 0;
        PipelineMode mode = PipelineMode::Exclusive;
        std::size_t bytes = 0;
    };

    std::vector<Entry>::const_iterator find(Id request) const;

    PipelineLimits m_limits;
    std::vector<Entry> m_entries; // in order of reading
    Id m_lastId = 0;
    bool m_closed = false;
};

} // namespace mulberryplank
