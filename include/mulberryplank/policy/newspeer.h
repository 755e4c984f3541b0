#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Returns whom of `candidates` to ask for a configuration newer than `version`: one that says to have it, where there
// are any, else any that isn't dead; never `self`. Of two drawn at random the stronger one is taken: a configuration of
// 300 KB keeps the slowest VMs' links busy for a quarter of a second, and all processes that missed it ask at once.
// Nothing: there is nobody to ask.
std::optional<Member> choosePeerForNews(std::vector<Member> candidates,
                                        Incarnation self,
                                        std::uint64_t version,
                                        std::mt19937_64 &random);

} // namespace mulberryplank
