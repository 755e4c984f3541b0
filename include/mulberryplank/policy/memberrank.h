#pragma once

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Orders members for duties that a few of them have: the stronger goes first; among equals the order follows the VM's
// name, so that a restart moves nothing.
bool ranksBefore(const Member &one, const Member &other);

} // namespace mulberryplank
