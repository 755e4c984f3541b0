#pragma once

#include <array>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mulberryplank/policy/configtable.h"
#include "mulberryplank/policy/recordtail.h"

namespace mulberryplank
{

// What a request to a service needs of the configuration. Never changes; an edit makes a new one.
struct ServiceView : boost::intrusive_ref_counter<ServiceView, boost::thread_safe_counter> {
    struct AccountRow {
        Row row;
        SecretDigest secretDigest {};
    };

    Service service;
    std::vector<Target> targets; // in order of name
    std::unordered_map<AccountName, AccountRow> rows;
};

using ServiceViewPtr = boost::intrusive_ptr<const ServiceView>;

// The configuration in force in this process. Only moves forward: whatever is older than what was applied, or comes
// from another log, changes nothing. Thread-safe. Requests take one short lock of a shard; edits build the new views
// before they swap them in.
class ConfigState
{
public:
    // `tailBytes` bounds the memory for the last records, which are kept for peers.
    explicit ConfigState(std::size_t tailBytes = 1'048'576);
    ConfigState(const ConfigState &) = delete;
    ConfigState &operator=(const ConfigState &) = delete;

    // Commands.

    // Applies those of the records that are new and returns their outcomes. Errors: NotReady when records before them
    // are missing; Conflict when they come from another log than what was applied.
    Result<std::vector<EditOutcome>> learn(const ConfigUpdate &news);

    // Takes over a table from a snapshot. Conflict unless it is newer than what was applied, or when it comes from
    // another log.
    Result<void> load(ConfigTable table);

    // Gives up the memory of a service's view, which is built again when it is asked for. Who holds the view keeps it.
    void releaseView(const ServiceName &name);

    // Queries.

    // Returns the service's view, or nullptr when there is no such service. Keeps it up to date from then on, at some
    // 239 bytes a row, until releaseView(): for services that are served here, not for all.
    ServiceViewPtr service(const ServiceName &name) const;

    // Returns the digest of the account's secret, or nothing when there is no such account.
    std::optional<SecretDigest> accountDigest(const AccountName &name) const;

    // Returns ConfigTable::nextOffset() of the table in force.
    Offset applied() const;

    // Returns an applied offset and its record's digest that belong together.
    struct Position {
        Offset applied = 0;
        RecordDigest last {};
    };
    Position position() const;

    std::optional<EditOutcome> outcomeOf(const EditId &id) const;

    // Returns the records from `from` on, or nothing when they aren't kept any more or there are none yet.
    std::optional<ConfigUpdate> newsSince(Offset from) const;

    // Returns the services that edits from `from` on may have changed, each once, or nothing when that isn't known any
    // more: then it may be any.
    std::optional<std::vector<ServiceName>> touchedSince(Offset from) const;

    // Returns the number of views kept.
    std::size_t viewCount() const;

    // Calls `reader` with the table in force. Edits wait until it returns; requests don't.
    void read(const std::function<void(const ConfigTable &)> &reader) const;

private:
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<ServiceName, ServiceViewPtr> views;
    };

    static constexpr std::size_t ShardCount = 16;

    EditOutcome applyOne(Offset offset, const std::string &record);
    ServiceViewPtr buildView(const ServiceName &name) const;
    void rebuildView(const ServiceName &name);
    std::vector<ServiceName> touchedBy(const std::string &record) const;
    Shard &shardOf(const ServiceName &name) const;

    // A service that the accepted edit at `offset` may have changed.
    struct Touch {
        Offset offset = 0;
        ServiceName service;
    };

    static constexpr std::size_t RememberedTouches = 4'096;

    // Guards the table, the tail and the touches. Taken before a shard's mutex, never after it.
    mutable std::shared_mutex m_tableMutex;
    ConfigTable m_table;
    RecordTail m_tail;
    std::deque<Touch> m_touches; // complete from m_touchesFrom on
    Offset m_touchesFrom = 0;

    // Views of the services that were asked for.
    mutable std::array<Shard, ShardCount> m_shards;
};

} // namespace mulberryplank
