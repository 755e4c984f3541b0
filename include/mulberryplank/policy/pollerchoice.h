#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Returns the proxies that read the platform's log for the others: in each failure domain the `perDomain` alive members
// that rendezvous hashing ranks first, in an order that all members agree on. A member that comes or goes changes its
// own domain's choice by one at most.
std::vector<VmName> pollers(const std::vector<Member> &members, std::size_t perDomain);

// Returns the place of `self` among pollers(), or nothing if it isn't one of them.
std::optional<std::size_t> pollerRank(const VmName &self, const std::vector<Member> &members, std::size_t perDomain);

} // namespace mulberryplank
