#pragma once

#include <functional>
#include <memory>

#include "mulberryplank/net/httpstream.h"

namespace mulberryplank
{

// Detects that a caller has closed its connection while its request is in progress and nothing is read from the
// connection. Without it, a target would keep working on a response that can't be delivered. No other operation may
// wait for input on the stream while the watch exists.
class CallerWatch
{
public:
    // `onDisconnect` is called at most once, from the stream's thread.
    CallerWatch(HttpStream &caller, std::function<void()> onDisconnect);

    // Stops watching. `onDisconnect` isn't called after this.
    ~CallerWatch();
    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;

private:
    struct Shared;

    HttpStream &m_caller;
    std::shared_ptr<Shared> m_shared; // shared with the pending wait, which ends slightly later
};

} // namespace mulberryplank
