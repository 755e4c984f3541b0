#include "mulberryplank/policy/targetdirectory.h"

#include <set>

namespace mulberryplank
{

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
        return true;
    }
    ListedTarget &listed = found->second;
    const std::int64_t knownStart = listed.target.startedMillis;
    if (target.startedMillis > 0 && target.startedMillis < knownStart) {
        return false; // an earlier start's record, read again
    }
    if (target.startedMillis > knownStart) {
        listed = ListedTarget { target, now, now + target.warmupLeft, std::nullopt };
        return true;
    }
    // A target that drains never goes back to work: a record that says so is an older one, read again.
    const bool older = target.sequence < listed.target.sequence || (listed.target.draining && !target.draining);
    const bool wasRemoved = listed.removedAt.has_value();
    listed.removedAt.reset();
    if (older) {
        return wasRemoved;
    }
    const bool changed = wasRemoved || !listed.target.sameState(target);
    listed.target = target;
    listed.lastHeartbeat = now;
    listed.warmAt = now + target.warmupLeft;
    return changed;
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
        if (!found->second.removedAt) {
            found->second.removedAt = now;
        }
        return false;
    }
    m_targets.erase(found);
    return true;
}

bool TargetDirectory::replaceAll(const std::vector<AnnouncedTarget> &targets, Instant now)
{
    bool changed = false;
    std::set<TargetName> present;
    for (const AnnouncedTarget &target : targets) {
        present.insert(target.id);
        changed = announce(target, now) || changed;
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
    m_returnedAt = now;
}

bool TargetDirectory::expire(Instant now)
{
    if (withinGrace(now)) {
        return false;
    }
    return std::erase_if(m_targets,
                         [](const auto &entry) {
                             return entry.second.removedAt.has_value();
                         })
           > 0;
}

const std::map<TargetName, ListedTarget> &TargetDirectory::targets() const
{
    return m_targets;
}

} // namespace mulberryplank
