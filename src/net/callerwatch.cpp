#include "mulberryplank/net/callerwatch.h"

namespace mulberryplank
{

struct CallerWatch::Shared {
    std::function<void()> onDisconnect;
    bool waiting = true;
};

CallerWatch::CallerWatch(HttpStream &caller, std::function<void()> onDisconnect)
    : m_caller(caller)
    , m_shared(std::make_shared<Shared>(Shared { std::move(onDisconnect) }))
{
    caller.socket().async_wait(boost::asio::socket_base::wait_read,
                               [&caller, shared = m_shared](boost::system::error_code error) {
                                   if (!shared->onDisconnect) {
                                       return;
                                   }
                                   shared->waiting = false;
                                   // Readable without being closed: the next request is there already, and nothing more
                                   // can be learnt without reading it.
                                   if (!error && caller.isClosedByPeer()) {
                                       shared->onDisconnect();
                                   }
                               });
}

CallerWatch::~CallerWatch()
{
    m_shared->onDisconnect = nullptr;
    if (m_shared->waiting) {
        boost::system::error_code ignored;
        m_caller.socket().cancel(ignored);
    }
}

} // namespace mulberryplank
