// Constants shared by the files of DiscoveryClient.
#pragma once

#include <string_view>

#include "mulberryplank/base/time.h"

namespace mulberryplank::internal
{

inline constexpr std::string_view FromStore = "store";
inline constexpr std::string_view FromPeer = "peer";
inline constexpr std::string_view FromReader = "reader";
inline constexpr std::string_view NoSource = "none";

// Throttles the log: hundreds of reads fail each second where a fleet has lost its store.
inline constexpr Duration FailureLogInterval = Seconds(1);

// The number of consecutive failed reads after which the store counts as unavailable. A single lost response must not
// keep targets listed that have left.
inline constexpr int OutageFailures = 2;

} // namespace mulberryplank::internal
