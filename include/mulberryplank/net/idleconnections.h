#pragma once

#include <boost/intrusive/list.hpp>

#include "mulberryplank/net/httpstream.h"

namespace mulberryplank
{

// The connections of callers that wait for a request, for a process that is about to end. Closing such a connection
// would make the system answer the caller's next bytes with a reset, which discards the part of a response that the
// caller hasn't received. Used by one thread only.
class IdleConnections
{
public:
    // Lists a connection while it waits for a request, which is as long as the entry exists.
    class Entry
    {
    public:
        Entry(IdleConnections &connections, HttpStream &stream);
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

        // Returns true if the connection was told to stop waiting.
        bool isEnded() const;

    private:
        friend class IdleConnections;

        HttpStream &m_stream;
        bool m_ended = false;
        boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> m_hook;
    };

    IdleConnections() = default;
    IdleConnections(const IdleConnections &) = delete;
    IdleConnections &operator=(const IdleConnections &) = delete;

    // Ends the wait of each connection whose caller has acknowledged all responses.
    void endDelivered();

private:
    boost::intrusive::list<Entry,
                           boost::intrusive::member_hook<Entry, decltype(Entry::m_hook), &Entry::m_hook>,
                           boost::intrusive::constant_time_size<false>>
        m_entries;
};

} // namespace mulberryplank
