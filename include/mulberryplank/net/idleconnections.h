#pragma once

#include <cstdint>

#include <boost/intrusive/list.hpp>

#include "mulberryplank/net/httpstream.h"

namespace mulberryplank
{

// How the wait for a caller's next request has ended.
enum class IdleEnd : std::uint8_t {
    Request, // input has arrived
    Drained, // this process is about to end; the connection is open, and all responses on it are delivered
    Closed, // by the caller, or because no request came in time
};

// The connections of callers that wait for a request, for a process that is about to end. Closing such a connection
// would make the system answer the caller's next bytes with a reset, which discards the part of a response that the
// caller hasn't received. Used by one thread only.
class IdleConnections
{
public:
    IdleConnections() = default;
    IdleConnections(const IdleConnections &) = delete;
    IdleConnections &operator=(const IdleConnections &) = delete;

    // Waits for a request for `idleTimeout`, and for up to `deliveryLimit` longer while the caller hasn't acknowledged
    // the responses before. This object and `stream` must outlive the wait.
    DataAwaitable<IdleEnd> awaitRequest(HttpStream &stream, Duration idleTimeout, Duration deliveryLimit);

    // Ends the wait of each connection whose caller has acknowledged all responses.
    void endDelivered();

private:
    struct Entry {
        HttpStream &stream;
        bool ended = false;
        boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> hook {};
    };

    boost::intrusive::list<Entry,
                           boost::intrusive::member_hook<Entry, decltype(Entry::hook), &Entry::hook>,
                           boost::intrusive::constant_time_size<false>>
        m_entries;
};

} // namespace mulberryplank
