#include "mulberryplank/policy/newspeer.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Removes those for which `isLess` holds, unless it holds for all.
template<typename Predicate>
void preferOthers(std::vector<Member> &candidates, Predicate isLess)
{
    if (!std::all_of(candidates.begin(), candidates.end(), isLess)) {
        std::erase_if(candidates, isLess);
    }
}

} // namespace

} // namespace internal

UnhelpfulPeers::UnhelpfulPeers(Duration lasts)
    : m_lasts(lasts)
{
}

void UnhelpfulPeers::note(Incarnation peer, Instant now)
{
    std::erase_if(m_notedAt, [this, now](const auto &noted) {
        return now - noted.second > m_lasts;
    });
    m_notedAt[peer] = now;
}

bool UnhelpfulPeers::contains(Incarnation peer, Instant now) const
{
    const auto found = m_notedAt.find(peer);
    return found != m_notedAt.end() && now - found->second <= m_lasts;
}

std::optional<Member> choosePeerForList(const std::vector<Member> &entries,
                                        const std::vector<Member> &members,
                                        Incarnation self,
                                        const UnhelpfulPeers &unhelpful,
                                        Instant now,
                                        std::mt19937_64 &random)
{
    const bool anyEntryHelps = std::any_of(entries.begin(), entries.end(), [&](const Member &entry) {
        return entry.incarnation != self && !unhelpful.contains(entry.incarnation, now);
    });
    return choosePeerForNews(anyEntryHelps ? entries : members, self, 0, unhelpful, now, random);
}

std::optional<Member> choosePeerForNews(std::vector<Member> candidates,
                                        Incarnation self,
                                        std::uint64_t version,
                                        const UnhelpfulPeers &unhelpful,
                                        Instant now,
                                        std::mt19937_64 &random)
{
    std::erase_if(candidates, [self](const Member &member) {
        return member.incarnation == self || member.status == MemberStatus::Dead;
    });
    internal::preferOthers(candidates, [&unhelpful, now](const Member &member) {
        return unhelpful.contains(member.incarnation, now);
    });
    internal::preferOthers(candidates, [version](const Member &member) {
        return member.applied <= version;
    });
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const Member &one = candidates[any(random)];
    const Member &other = candidates[any(random)];
    return one.capacity >= other.capacity ? one : other;
}

} // namespace mulberryplank
