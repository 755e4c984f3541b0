#pragma once

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Returns a number from 0 to 1 that differs between processes, to spread what all of them do after the same event.
inline double phaseOf(Incarnation self)
{
    constexpr Incarnation Steps = 1'024;
    return static_cast<double>(self % Steps) / static_cast<double>(Steps - 1);
}

} // namespace mulberryplank
