#pragma once

#include <functional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// One of several ways to perform a task. Returns whether it succeeded.
using StaggeredStep = std::function<boost::asio::awaitable<bool>()>;

// Starts the steps in order, each one when the previous one has failed or hasn't completed within `timeout`. Returns
// true as soon as one has succeeded, and false once all have failed or `lastTimeout` has passed since the last one was
// started. Steps that are still in progress then continue on their own, so whatever they refer to must outlive them.
// The io_context must outlive all of them.
boost::asio::awaitable<bool> runStaggered(boost::asio::io_context &context,
                                          std::vector<StaggeredStep> steps,
                                          Duration timeout,
                                          Duration lastTimeout = Duration::max());

} // namespace mulberryplank
