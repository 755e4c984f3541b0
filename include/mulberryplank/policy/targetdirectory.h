#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// One start of a target, as it announces itself. It may start again under its id; its address may be used again by a
// target of another service.
struct AnnouncedTarget {
    TargetName id;
    ServiceName service;
    Endpoint endpoint;
    FailureDomain failureDomain;
    std::uint32_t slots = 1; // requests that it works on at the same time
    bool draining = false; // it ends soon and takes no new work
    Duration warmupLeft {}; // how much longer it is slow after its start
    std::uint64_t sequence = 0; // grows with each heartbeat since its start
    std::int64_t startedMillis = 0; // Unix time of its start, in milliseconds; 0: not told

    // Returns true if nothing but the heartbeat's number differs.
    bool sameState(const AnnouncedTarget &other) const;
};

// How a target is listed now.
struct ListedTarget {
    AnnouncedTarget target;
    Instant lastHeartbeat {}; // when its newest record arrived here
    Instant warmAt {}; // when it is as fast as it gets
    std::optional<Instant> removedAt; // its entry has lapsed; kept until it is sure that it does not come back
};

// The targets that have announced themselves, as a fold of the records of the platform's store. An entry that goes
// while the store was away a moment ago may be one that merely lapsed: its target has `returnGrace` from the store's
// return to announce itself again, and is kept that long. All other removals count at once. Not synchronized.
class TargetDirectory
{
public:
    // `returnGrace`: within which live targets are back after the store's return.
    explicit TargetDirectory(Duration returnGrace);

    // A target's record. Returns true if its state differs from what was known.
    bool announce(const AnnouncedTarget &target, Instant now);

    // A target's entry was removed. Returns true if the target is gone.
    bool remove(const TargetName &id, Instant now);

    // Replaces everything by a complete list. Returns true if any state differs.
    bool replaceAll(const std::vector<AnnouncedTarget> &targets, Instant now);

    // The store answers again after having been away.
    void storeReturned(Instant now);

    // Drops lapsed entries whose time is up. Returns true if there were any.
    bool expire(Instant now);

    // Returns all targets that may exist, by id.
    const std::map<TargetName, ListedTarget> &targets() const;

    // Returns how often a target's state has changed so far, its coming and going included.
    std::uint64_t changes() const;

    // Returns the targets whose states have changed since there were so many changes, those that have gone among them;
    // nothing when that is too long ago to be known, or was never so.
    std::optional<std::set<TargetName>> changedSince(std::uint64_t changes) const;

private:
    bool withinGrace(Instant now) const;
    void recordChange(const TargetName &id);

    Duration m_returnGrace;
    std::optional<Instant> m_returnedAt;
    std::map<TargetName, ListedTarget> m_targets;
    std::uint64_t m_changes = 0;
    std::deque<TargetName> m_changed; // by the latest of them, oldest first
};

} // namespace mulberryplank
