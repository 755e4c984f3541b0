// What the files of DiscoveryClient share.
#pragma once

#include <string_view>

#include "mulberryplank/base/time.h"

namespace mulberryplank::internal
{

inline constexpr std::string_view FromStore = "store";
inline constexpr std::string_view FromPeer = "peer";
inline constexpr std::string_view FromReader = "reader";

// Reads fail by the hundred a second where a fleet has lost its store.
inline constexpr Duration FailureLogInterval = Seconds(1);

// Reads that failed one after the other from which on the store counts as away: a single lost answer must not keep
// targets listed that have gone.
inline constexpr int OutageFailures = 2;

} // namespace mulberryplank::internal
