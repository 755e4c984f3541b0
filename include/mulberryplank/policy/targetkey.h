#pragma once

#include <cstdint>

#include "mulberryplank/base/name.h"

namespace mulberryplank
{

// A hash of a target's name, which identifies it among processes that know the same targets. Hundreds of reports are
// sent each second, names would be most of their size, and bytes between failure domains are billed.
using TargetKey = std::uint64_t;

TargetKey targetKey(const TargetName &target);

} // namespace mulberryplank
