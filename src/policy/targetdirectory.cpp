#include "mulberryplank/policy/targetdirectory.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Number of latest changes that are kept individually. A process that has missed more receives the whole list.
constexpr std::size_t ChangesKept = 4'096;

} // namespace

} // namespace internal

bool AnnouncedTarget::sameState(const AnnouncedTarget &other) const
{
    return service == other.service && endpoint == other.endpoint && failureDomain == other.failureDomain
           && slots == other.slots && draining == other.draining && startedMillis == other.startedMillis;
}

TargetDirectory::TargetDirectory(Duration returnGrace)
    : m_returnGrace(returnGrace)
{
}

bool TargetDirectory::announce(const AnnouncedTarget &target, Instant now)
{
    const auto found = m_targets.find(target.id);
    if (found == m_targets.end()) {
        m_targets.emplace(target.id, ListedTarget { target, now, now + target.warmupLeft, std::nullopt });
        recordChange(target.id);
        return true;
    }
    ListedTarget &listed = found->second;
    const std::int64_t knownStart = listed.target.startedMillis;
    if (target.startedMillis > 0 && target.startedMillis < knownStart) {
        return false; // a record of an earlier start, read again
    }
    if (target.startedMillis > knownStart) {
        listed = ListedTarget { target, now, now + target.warmupLeft, std::nullopt };
        recordChange(target.id);
        return true;
    }
    // A draining target never returns to work, so a record that claims otherwise is an older one, read again.
    const bool older = target.sequence < listed.target.sequence || (listed.target.draining && !target.draining);
    const bool wasRemoved = listed.keptUntil.has_value();
    listed.keptUntil.reset();
    const bool changed = wasRemoved || (!older && !listed.target.sameState(target));
    if (changed) {
        recordChange(target.id);
    }
    if (older) {
        return changed;
    }
    listed.target = target;
    listed.lastHeartbeat = now;
    listed.warmAt = now + target.warmupLeft;
    return changed;
}

void TargetDirectory::storeWentBack(Instant now)
{
    m_wentBackAt = now;
}

bool TargetDirectory::withinGrace(Instant now) const
{
    return m_returnedAt && now < *m_returnedAt + m_returnGrace;
}

bool TargetDirectory::remove(const TargetName &id, Instant now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return false;
    }
    if (withinGrace(now) && !found->second.target.draining) {
        keepExpired(found->second, *m_returnedAt + m_returnGrace);
        return false;
    }
    noteLeft(found->second.target, now);
    m_targets.erase(found);
    recordChange(id);
    return true;
}

bool TargetDirectory::applyDifference(const std::vector<AnnouncedTarget> &changed,
                                      const std::vector<TargetName> &removed,
                                      const std::set<TargetName> &expired,
                                      Instant now)
{
    bool isComplete = true;
    for (const AnnouncedTarget &target : changed) {
        if (expired.contains(target.id)) {
            noteExpired(target.id, now);
        } else if (isOfTargetThatLeft(target, now)) {
            isComplete = false;
        } else {
            announce(target, now);
        }
    }
    for (const TargetName &id : removed) {
        remove(id, now);
    }
    return isComplete;
}

// Records that a listed target's entry has expired at the process that provides the list. It is then removed after the
// grace period, also if that process provides no further list.
void TargetDirectory::noteExpired(const TargetName &id, Instant now)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        keepExpired(found->second, now + m_returnGrace);
    }
}

void TargetDirectory::keepExpired(ListedTarget &listed, Instant until)
{
    if (!listed.keptUntil) {
        listed.keptUntil = until;
        recordChange(listed.target.id);
    }
}

// Returns whether an entry of a list may be an old one of a target that left. Its number doesn't tell: processes that
// get lists from others know only the heartbeats that changed something.
bool TargetDirectory::isOfTargetThatLeft(const AnnouncedTarget &target, Instant now) const
{
    if (!m_wentBackAt || now > *m_wentBackAt + OldEntriesLifetime || m_targets.contains(target.id)) {
        return false;
    }
    const auto left = m_left.find(target.id);
    return left != m_left.end() && now >= left->second.certainFrom
           && target.startedMillis <= left->second.startedMillis;
}

// Right after the store came back a target that is missing may not have announced itself again yet.
void TargetDirectory::noteLeft(const AnnouncedTarget &target, Instant now)
{
    while (!m_leaving.empty() && now - m_leaving.front().first > LeftTargetLifetime) {
        const auto left = m_left.find(m_leaving.front().second);
        if (left != m_left.end() && left->second.at == m_leaving.front().first) {
            m_left.erase(left);
        }
        m_leaving.pop_front();
    }
    const Instant certainFrom = m_wentBackAt ? std::max(now, *m_wentBackAt + m_returnGrace) : now;
    m_left[target.id] = { target.startedMillis, now, certainFrom };
    m_leaving.emplace_back(now, target.id);
}

bool TargetDirectory::replaceAll(const std::vector<AnnouncedTarget> &targets,
                                 Instant now,
                                 const std::set<TargetName> &expired)
{
    const bool hasList = !m_targets.empty();
    bool changed = false;
    std::set<TargetName> present;
    for (const AnnouncedTarget &target : targets) {
        present.insert(target.id);
        const bool isExpired = expired.contains(target.id);
        const bool mayAnnounce = !isOfTargetThatLeft(target, now) && !(isExpired && hasList);
        changed = (mayAnnounce && announce(target, now)) || changed;
        if (isExpired) {
            noteExpired(target.id, now);
        }
    }
    std::vector<TargetName> missing;
    for (const auto &[id, listed] : m_targets) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const TargetName &id : missing) {
        changed = remove(id, now) || changed;
    }
    return changed;
}

void TargetDirectory::storeReturned(Instant now)
{
    m_returnedAt = m_returnedAt ? std::max(*m_returnedAt, now) : now;
}

bool TargetDirectory::expire(Instant now)
{
    if (withinGrace(now)) {
        return false;
    }
    return std::erase_if(m_targets,
                         [this, now](const auto &entry) {
                             const bool lapsed = entry.second.keptUntil && now >= *entry.second.keptUntil;
                             if (lapsed) {
                                 noteLeft(entry.second.target, now);
                                 recordChange(entry.first);
                             }
                             return lapsed;
                         })
           > 0;
}

std::vector<TargetName> TargetDirectory::expired() const
{
    std::vector<TargetName> expired;
    for (const auto &[id, listed] : m_targets) {
        if (listed.keptUntil) {
            expired.push_back(id);
        }
    }
    return expired;
}

void TargetDirectory::recordChange(const TargetName &id)
{
    ++m_changes;
    m_changed.push_back(id);
    if (m_changed.size() > internal::ChangesKept) {
        m_changed.pop_front();
    }
}

std::uint64_t TargetDirectory::changes() const
{
    return m_changes;
}

std::optional<std::set<TargetName>> TargetDirectory::changedSince(std::uint64_t changes) const
{
    if (changes > m_changes || m_changes - changes > m_changed.size()) {
        return std::nullopt;
    }
    const auto missed = static_cast<std::ptrdiff_t>(m_changes - changes);
    return std::set<TargetName>(m_changed.end() - missed, m_changed.end());
}

const std::map<TargetName, ListedTarget> &TargetDirectory::targets() const
{
    return m_targets;
}

} // namespace mulberryplank
