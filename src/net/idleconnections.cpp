#include "mulberryplank/net/idleconnections.h"

namespace mulberryplank
{

IdleConnections::Entry::Entry(IdleConnections &connections, HttpStream &stream)
    : m_stream(stream)
{
    connections.m_entries.push_back(*this);
}

bool IdleConnections::Entry::isEnded() const
{
    return m_ended;
}

void IdleConnections::endDelivered()
{
    for (Entry &entry : m_entries) {
        if (!entry.m_ended && entry.m_stream.undeliveredBytes() == 0) {
            entry.m_ended = true;
            entry.m_stream.cancel();
        }
    }
}

} // namespace mulberryplank
