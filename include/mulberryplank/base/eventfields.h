#pragma once

#include <string_view>
#include <vector>

#include "mulberryplank/base/event.h"

namespace mulberryplank
{

// Returns the keys of the fields that a log line of `event` may contain, in the catalogue's order. The list is closed:
// fields with other keys are never logged.
const std::vector<std::string_view> &eventFields(Event event);

} // namespace mulberryplank
