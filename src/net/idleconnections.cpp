#include "mulberryplank/net/idleconnections.h"

namespace mulberryplank
{

DataAwaitable<IdleEnd> IdleConnections::awaitRequest(HttpStream &stream, Duration idleTimeout, Duration deliveryLimit)
{
    stream.expiresOnceDelivered(idleTimeout, idleTimeout + deliveryLimit);
    Entry entry { stream };
    m_entries.push_back(entry);
    const boost::system::error_code error = co_await stream.waitForInput();
    if (!error) {
        co_return IdleEnd::Request;
    }
    co_return entry.ended ? IdleEnd::Drained : IdleEnd::Closed;
}

void IdleConnections::endDelivered()
{
    for (Entry &entry : m_entries) {
        if (!entry.ended && entry.stream.undeliveredBytes() == 0) {
            entry.ended = true;
            entry.stream.cancel();
        }
    }
}

} // namespace mulberryplank
