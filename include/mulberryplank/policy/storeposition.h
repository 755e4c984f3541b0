#pragma once

#include <compare>
#include <cstdint>

#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// Identifies a history of the store. It rises each time the store comes back from an older copy of itself, which gives
// out the offsets of the lost records again. 0: the store names none.
using StoreEra = std::uint64_t;

// A position in one history of a topic. All positions of a newer history come after those of an older one, whatever
// their offsets: what was read there last is what the store has.
struct StorePosition {
    StoreEra era = 0;
    Offset offset = 0;

    auto operator<=>(const StorePosition &) const = default;
};

} // namespace mulberryplank
