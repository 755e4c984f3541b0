#include "mulberryplank/policy/pollerchoice.h"

#include <algorithm>
#include <map>

#include <xxhash.h>

namespace mulberryplank
{

namespace internal
{

// Other purposes that rank members by hash must use another seed, so that the same proxies don't get all roles.
constexpr XXH64_hash_t PollerSeed = 0x706f6c6c;

using Score = std::pair<XXH64_hash_t, std::string>;

Score scoreOf(const VmName &vm)
{
    return { XXH64(vm.value().data(), vm.value().size(), PollerSeed), vm.value() };
}

} // namespace internal

std::vector<VmName> pollers(const std::vector<Member> &members, std::size_t perDomain)
{
    std::map<std::string, std::vector<internal::Score>> domains;
    for (const Member &member : members) {
        if (member.status == MemberStatus::Alive) {
            domains[member.failureDomain.value()].push_back(internal::scoreOf(member.vm));
        }
    }
    std::vector<internal::Score> chosen;
    for (auto &[domain, scores] : domains) {
        std::sort(scores.begin(), scores.end());
        scores.resize(std::min(scores.size(), perDomain));
        chosen.insert(chosen.end(), scores.begin(), scores.end());
    }
    std::sort(chosen.begin(), chosen.end());
    std::vector<VmName> names;
    for (internal::Score &score : chosen) {
        names.emplace_back(std::move(score.second));
    }
    return names;
}

std::optional<std::size_t> pollerRank(const VmName &self, const std::vector<Member> &members, std::size_t perDomain)
{
    const std::vector<VmName> chosen = pollers(members, perDomain);
    const auto found = std::find(chosen.begin(), chosen.end(), self);
    return found == chosen.end() ? std::nullopt : std::optional<std::size_t>(found - chosen.begin());
}

} // namespace mulberryplank
