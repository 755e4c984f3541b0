#pragma once

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Orders members for roles that only some of them have: by descending capacity, then by a hash of the VM's name, so
// that a restart doesn't change the order.
bool ranksBefore(const Member &one, const Member &other);

} // namespace mulberryplank
