#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Returns the proxies that read the platform's log for the other proxies: in each failure domain the `perDomain` alive
// members that rank highest by rendezvous hashing. All members agree on the order. A member that joins or leaves
// changes at most one of its own domain's pollers.
std::vector<VmName> pollers(const std::vector<Member> &members, std::size_t perDomain);

// Returns the rank of `self` among pollers(), or nothing if it isn't one of them.
std::optional<std::size_t> pollerRank(const VmName &self, const std::vector<Member> &members, std::size_t perDomain);

} // namespace mulberryplank
