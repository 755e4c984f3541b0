#pragma once

#include <functional>
#include <utility>

#include <boost/intrusive/list.hpp>

namespace mulberryplank
{

// The requests at targets, each of which can be ended early. Thread-compatible.
class RunningRequests
{
public:
    // Is told of the end while it exists, which is as long as the request is at targets.
    class Listener : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
    {
    public:
        // `onEnd` must not destroy a listener.
        Listener(RunningRequests &requests, std::function<void()> onEnd)
            : m_onEnd(std::move(onEnd))
        {
            requests.m_listeners.push_back(*this);
        }

    private:
        friend class RunningRequests;

        std::function<void()> m_onEnd;
    };

    // Tells all listeners that the process is about to end, so that their callers get a response before.
    void endAll()
    {
        for (Listener &listener : m_listeners) {
            listener.m_onEnd();
        }
    }

private:
    boost::intrusive::list<Listener, boost::intrusive::constant_time_size<false>> m_listeners;
};

} // namespace mulberryplank
