#pragma once

#include <functional>
#include <memory>

#include <boost/intrusive/list.hpp>

#include "mulberryplank/net/httpstream.h"

namespace mulberryplank
{

// Detects that a caller has closed its connection while requests of it are in progress, and reports further input of
// the caller. Without it, a target would keep working on a response that can't be delivered. Watches only while there
// are listeners. While it watches, input may be read only by `onInput`.
class CallerWatch
{
public:
    // Is told of the disconnect while it exists, which is as long as a request is at targets.
    class Listener
    {
    public:
        // `onDisconnect` is called from the stream's thread. It must not destroy a listener.
        Listener(CallerWatch &watch, std::function<void()> onDisconnect);
        ~Listener();
        Listener(const Listener &) = delete;
        Listener &operator=(const Listener &) = delete;

    private:
        friend class CallerWatch;

        CallerWatch &m_watch;
        std::function<void()> m_onDisconnect;
        boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> m_hook;
    };

    // `onInput` is called when there is input. It returns true if it has taken all of it. If it returns false, it isn't
    // called again before resume().
    CallerWatch(HttpStream &caller, TimerWheel &wheel, std::function<bool()> onInput);
    ~CallerWatch();
    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;

    // Calls `onInput` for the input that it has left, if there are listeners.
    void resume();

    // Tells all listeners that their response can't be delivered.
    void cancelAll();

private:
    enum class State : std::uint8_t {
        Idle, // doesn't wait for input
        Waiting, // for input
        Reporting, // calls `onInput`
        InputLeft, // `onInput` has left input; a timer looks for a disconnect
    };
    struct Wait;
    using Listeners =
        boost::intrusive::list<Listener,
                               boost::intrusive::member_hook<Listener, decltype(Listener::m_hook), &Listener::m_hook>,
                               boost::intrusive::constant_time_size<false>>;

    void start();
    void waitForInput();
    void stop();
    void onReadable();
    void report();
    void checkDisconnect();

    HttpStream &m_caller;
    TimerWheel &m_wheel;
    std::function<bool()> m_onInput;
    WheelTimer m_checkTimer;
    Listeners m_listeners;
    State m_state = State::Idle;
    std::shared_ptr<Wait> m_wait; // shared with the pending wait, which ends slightly later
};

} // namespace mulberryplank
