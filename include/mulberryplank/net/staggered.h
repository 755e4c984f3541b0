#pragma once

#include <functional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// One way to reach an aim; returns whether it did.
using StaggeredStep = std::function<boost::asio::awaitable<bool>()>;

// Begins the steps in their order: the next one as soon as the one before has failed, or hasn't ended after `timeout`.
// Returns true as soon as one of them has reached the aim, false once all have failed. Steps that are still under way
// then go on by themselves, so what they refer to must outlive them. The io_context must outlive all of it.
boost::asio::awaitable<bool> runStaggered(boost::asio::io_context &context,
                                          std::vector<StaggeredStep> steps,
                                          Duration timeout);

} // namespace mulberryplank
