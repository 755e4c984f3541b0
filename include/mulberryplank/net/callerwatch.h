#pragma once

#include <functional>
#include <memory>

#include "mulberryplank/net/httpstream.h"

namespace mulberryplank
{

// Notices that a caller has closed its connection while its request is under way, when nothing is read from it. Without
// this a target would go on working for nobody until its answer can't be delivered. Nothing else may wait for input on
// the stream meanwhile.
class CallerWatch
{
public:
    // `onDisconnect` is called at most once, from the stream's thread.
    CallerWatch(HttpStream &caller, std::function<void()> onDisconnect);

    // Stops watching; `onDisconnect` isn't called any more.
    ~CallerWatch();
    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;

private:
    struct Shared;

    HttpStream &m_caller;
    std::shared_ptr<Shared> m_shared; // with the wait under way, which ends a little later
};

} // namespace mulberryplank
