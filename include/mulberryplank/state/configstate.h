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

// The part of the configuration that requests to a service need. Immutable; an edit creates a new view.
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

// The configuration in force in this process. It only moves forward: an update that is older than the applied records,
// or that comes from another log, changes nothing. Thread-safe. A request briefly locks one shard; an edit builds the
// new views before it swaps them in.
class ConfigState
{
public:
    // `tailBytes` is the maximum memory for the latest records, which are kept to send them to peers.
    explicit ConfigState(std::size_t tailBytes = 1'048'576);
    ConfigState(const ConfigState &) = delete;
    ConfigState &operator=(const ConfigState &) = delete;

    // Commands.

    // Applies the records that are new and returns their outcomes. Errors: NotReady if earlier records are missing;
    // Conflict if the records come from another log than the applied ones.
    Result<std::vector<EditOutcome>> applyUpdate(const ConfigUpdate &update);

    // Replaces the table with one from a snapshot. Errors: Conflict unless the table is newer than the applied records,
    // or if it comes from another log.
    Result<void> load(ConfigTable table);

    // Frees the memory of a service's view; service() builds it again on request. Holders of the view keep it.
    void releaseView(const ServiceName &name);

    // Queries.

    // Returns the service's view, or nullptr if the service doesn't exist. The view is kept up to date until
    // releaseView() and takes about 239 bytes per row, so call this only for services that this process serves.
    ServiceViewPtr service(const ServiceName &name) const;

    // Returns the digest of the account's secret, or nothing if the account doesn't exist.
    std::optional<SecretDigest> accountDigest(const AccountName &name) const;

    // Returns ConfigTable::nextOffset() of the table in force.
    Offset applied() const;

    // Returns the offset after the last applied record and that record's digest, read under one lock.
    struct Position {
        Offset applied = 0;
        RecordDigest last {};
    };
    Position position() const;

    std::optional<EditOutcome> outcomeOf(const EditId &id) const;

    // Returns the records from `from` on, or nothing if they are no longer kept or don't exist yet.
    std::optional<ConfigUpdate> updateSince(Offset from) const;

    // Returns the services that edits from `from` on may have changed, without duplicates. Returns nothing if that is
    // no longer known: any service may then have changed.
    std::optional<std::vector<ServiceName>> servicesChangedSince(Offset from) const;

    // Returns the number of views kept.
    std::size_t viewCount() const;

    // Calls `reader` with the table in force. Edits are blocked until it returns; requests aren't.
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
    std::vector<ServiceName> servicesChangedBy(const std::string &record) const;
    Shard &shardOf(const ServiceName &name) const;

    // A service that the accepted edit at `offset` may have changed.
    struct ServiceChange {
        Offset offset = 0;
        ServiceName service;
    };

    static constexpr std::size_t MaxServiceChanges = 4'096;

    // Guards the table, the tail and the service changes. Must be locked before a shard's mutex, never after it.
    mutable std::shared_mutex m_tableMutex;
    ConfigTable m_table;
    RecordTail m_tail;
    std::deque<ServiceChange> m_serviceChanges; // complete from m_serviceChangesFrom on
    Offset m_serviceChangesFrom = 0;

    // Views of the services that were requested.
    mutable std::array<Shard, ShardCount> m_shards;
};

} // namespace mulberryplank
