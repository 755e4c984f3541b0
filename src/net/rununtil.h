// Runs an io_context in tests.
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// Runs until `done` returns true. Returns false if it doesn't within a time limit, which only bounds how long a failing
// test can hang.
inline bool runUntil(boost::asio::io_context &context, const std::function<bool()> &done)
{
    constexpr Seconds WaitLimit { 20 };
    constexpr Millis Round { 5 };
    const Instant limit = std::chrono::steady_clock::now() + WaitLimit;
    while (!done() && std::chrono::steady_clock::now() < limit) {
        context.restart();
        context.run_one_for(Round);
    }
    return done();
}

} // namespace mulberryplank
