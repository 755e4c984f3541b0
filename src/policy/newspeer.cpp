#include "mulberryplank/policy/newspeer.h"

#include <algorithm>

namespace mulberryplank
{

std::optional<Member> choosePeerForNews(std::vector<Member> candidates,
                                        Incarnation self,
                                        std::uint64_t version,
                                        std::mt19937_64 &random)
{
    std::erase_if(candidates, [self](const Member &member) {
        return member.incarnation == self || member.status == MemberStatus::Dead;
    });
    const auto isBehind = [version](const Member &member) {
        return member.applied <= version;
    };
    if (!std::all_of(candidates.begin(), candidates.end(), isBehind)) {
        std::erase_if(candidates, isBehind);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const Member &one = candidates[any(random)];
    const Member &other = candidates[any(random)];
    return one.capacity >= other.capacity ? one : other;
}

} // namespace mulberryplank
