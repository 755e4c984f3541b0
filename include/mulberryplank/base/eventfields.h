#pragma once

#include <string_view>
#include <vector>

#include "mulberryplank/base/event.h"

namespace mulberryplank
{

// Returns the keys of the fields that a line of `event` may carry, in the catalogue's order. The list is closed: what
// isn't on it never reaches a log.
const std::vector<std::string_view> &eventFields(Event event);

} // namespace mulberryplank
