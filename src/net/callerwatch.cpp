#include "mulberryplank/net/callerwatch.h"

#include <boost/asio/post.hpp>

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

// How often a disconnect is looked for while unread input hides it from a wait. Attempts must be cancelled within half
// a second.
constexpr Duration DisconnectCheckInterval = Millis(200);

} // namespace

} // namespace internal

struct CallerWatch::Wait {
    CallerWatch *watch = nullptr; // nullptr when nothing waits for the result any longer
};

CallerWatch::Listener::Listener(CallerWatch &watch, std::function<void()> onDisconnect)
    : m_watch(watch)
    , m_onDisconnect(std::move(onDisconnect))
{
    m_watch.m_listeners.push_back(*this);
    if (m_watch.m_state == State::Idle) {
        m_watch.start();
    }
}

CallerWatch::Listener::~Listener()
{
    m_hook.unlink();
    if (m_watch.m_listeners.empty()) {
        m_watch.stop();
    }
}

CallerWatch::CallerWatch(HttpStream &caller, TimerWheel &wheel, std::function<bool()> onInput)
    : m_caller(caller)
    , m_wheel(wheel)
    , m_onInput(std::move(onInput))
    , m_checkTimer([this] {
        checkDisconnect();
    })
{
}

CallerWatch::~CallerWatch()
{
    if (m_wait) {
        m_wait->watch = nullptr;
    }
}

// Begins to watch for a listener. Input that was read with the header of its request is reported as well.
void CallerWatch::start()
{
    if (m_caller.buffer().size() > 0) {
        m_state = State::Waiting;
        m_wait = std::make_shared<Wait>(Wait { this });
        asio::post(m_caller.socket().get_executor(), [wait = m_wait] {
            if (wait->watch != nullptr) {
                wait->watch->onReadable();
            }
        });
        return;
    }
    waitForInput();
}

void CallerWatch::waitForInput()
{
    m_state = State::Waiting;
    m_wait = std::make_shared<Wait>(Wait { this });
    m_caller.socket().async_wait(asio::socket_base::wait_read, [wait = m_wait](boost::system::error_code error) {
        if (wait->watch != nullptr && !error) {
            wait->watch->onReadable();
        } else if (wait->watch != nullptr) {
            wait->watch->m_state = State::Idle;
        }
    });
}

void CallerWatch::stop()
{
    m_checkTimer.disarm();
    if (m_state == State::InputLeft) {
        m_state = State::Idle;
    }
    // A cancellation would also end the write of a response; the wait then stays for the next listener.
    if (m_state != State::Waiting || m_caller.isWriting()) {
        return;
    }
    m_wait->watch = nullptr;
    m_wait.reset();
    m_state = State::Idle;
    m_caller.cancel();
}

void CallerWatch::onReadable()
{
    m_state = State::Idle;
    if (m_listeners.empty()) {
        return;
    }
    if (m_caller.isClosedByPeer()) {
        cancelAll();
        return;
    }
    report();
}

void CallerWatch::report()
{
    m_state = State::Reporting;
    const bool takenAll = m_onInput();
    m_state = State::Idle;
    if (m_listeners.empty()) {
        return;
    }
    if (takenAll) {
        waitForInput(); // the buffer may hold a part of a header, of which more must arrive
        return;
    }
    m_state = State::InputLeft;
    m_wheel.arm(m_checkTimer, Clock::now() + internal::DisconnectCheckInterval);
}

void CallerWatch::checkDisconnect()
{
    if (m_caller.peerState() != PeerState::Open) {
        m_state = State::Idle;
        cancelAll();
        return;
    }
    m_wheel.arm(m_checkTimer, Clock::now() + internal::DisconnectCheckInterval);
}

void CallerWatch::resume()
{
    if (m_state != State::InputLeft) {
        return;
    }
    m_checkTimer.disarm();
    report();
}

void CallerWatch::cancelAll()
{
    for (Listener &listener : m_listeners) {
        listener.m_onDisconnect();
    }
}

} // namespace mulberryplank
