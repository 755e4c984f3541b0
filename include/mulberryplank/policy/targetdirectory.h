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

// One run of a target, as announced by the target. A target may restart under the same id, and its address may later be
// used by a target of another service.
struct AnnouncedTarget {
    TargetName id;
    ServiceName service;
    Endpoint endpoint;
    FailureDomain failureDomain;
    std::uint32_t slots = 1; // number of requests that it processes concurrently
    bool draining = false; // it stops soon and takes no new work
    Duration warmupLeft {}; // remaining time for which it is slow after its start
    std::uint64_t sequence = 0; // increases with each heartbeat since its start
    std::int64_t startedMillis = 0; // Unix time of its start, in milliseconds; 0: unknown

    // Returns true if nothing but the heartbeat's number differs.
    bool sameState(const AnnouncedTarget &other) const;
};

// A target as currently listed.
struct ListedTarget {
    AnnouncedTarget target;
    Instant lastHeartbeat {}; // time at which its newest record arrived here
    Instant warmAt {}; // time at which it reaches full speed
    // Set if its entry has expired: it is kept until then, unless it announces itself again, because it may still run.
    std::optional<Instant> keptUntil;
};

// The targets that have announced themselves, built from the records of the platform's store. An entry that is removed
// shortly after an outage of the store may only have expired: its target has `returnGrace` after the store's recovery
// to announce itself again, and is kept for that time. All other removals take effect at once. A store that came back
// from an older copy lists targets that have left: those that left here aren't listed again by its lists until it has
// removed them. Thread-compatible.
class TargetDirectory
{
public:
    // How long targets that left are remembered. Copies of the store are some seconds old.
    static constexpr Duration LeftTargetLifetime = Seconds(30);

    // How long after its return such a store may list targets that don't run any more.
    static constexpr Duration OldEntriesLifetime = Seconds(10);

    // `returnGrace` is the time within which live targets announce themselves after the store's return.
    explicit TargetDirectory(Duration returnGrace);

    // Applies a target's record. Returns true if its state differs from the known one.
    bool announce(const AnnouncedTarget &target, Instant now);

    // Applies the removal of a target's entry. Returns true if the target was removed from the list.
    bool remove(const TargetName &id, Instant now);

    // Replaces all entries by a complete list. Returns true if any state differs. The entries of the targets in
    // `expired` have expired at the process that provided the list: these are kept for the grace period at most, and
    // not added to a list that lacks them.
    bool replaceAll(const std::vector<AnnouncedTarget> &targets, Instant now, const std::set<TargetName> &expired = {});

    // Applies the difference between the list of another process and the last one that came from there. A target that
    // may have left isn't added (see above). Returns whether all of it was applied.
    bool applyDifference(const std::vector<AnnouncedTarget> &changed,
                         const std::vector<TargetName> &removed,
                         const std::set<TargetName> &expired,
                         Instant now);

    // Records that the store responds again after an outage.
    void storeReturned(Instant now);

    // Records that the store came back from an older copy.
    void storeWentBack(Instant now);

    // Removes expired entries whose grace period has passed. Returns true if there were any.
    bool expire(Instant now);

    // Returns the targets whose entries have expired and that are still kept.
    std::vector<TargetName> expired() const;

    // Returns all targets that may exist, by id.
    const std::map<TargetName, ListedTarget> &targets() const;

    // Returns the number of changes of targets' states so far, additions and removals included.
    std::uint64_t changes() const;

    // Returns the targets whose states have changed since changes() returned `changes`, removed and expired ones
    // included. Returns
    // nothing if that is too long ago to be known, or if changes() never had that value.
    std::optional<std::set<TargetName>> changedSince(std::uint64_t changes) const;

private:
    struct LeftTarget {
        std::int64_t startedMillis = 0; // as in AnnouncedTarget
        Instant at {};
        Instant certainFrom {}; // when it can't be one that hasn't announced itself again yet
    };

    bool isOfTargetThatLeft(const AnnouncedTarget &target, Instant now) const;
    void noteLeft(const AnnouncedTarget &target, Instant now);
    void noteExpired(const TargetName &id, Instant now);
    void keepExpired(ListedTarget &listed, Instant until);
    bool withinGrace(Instant now) const;
    void recordChange(const TargetName &id);

    Duration m_returnGrace;
    std::optional<Instant> m_returnedAt;
    std::optional<Instant> m_wentBackAt;
    std::map<TargetName, ListedTarget> m_targets;
    std::map<TargetName, LeftTarget> m_left;
    std::deque<std::pair<Instant, TargetName>> m_leaving; // when targets left, oldest first
    std::uint64_t m_changes = 0;
    std::deque<TargetName> m_changed; // ids of the latest changes, oldest first
};

} // namespace mulberryplank
