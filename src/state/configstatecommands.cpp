#include <algorithm>

#include "mulberryplank/state/configstate.h"

namespace mulberryplank
{

namespace internal
{

// Returns the reason why `update` doesn't continue the records applied up to `position`, or nothing if it does.
std::optional<Error> continuityError(const ConfigUpdate &update, const ConfigState::Position &position)
{
    const Offset end = update.from + update.records.size();
    if (update.from > position.applied) {
        return Error { ErrorKind::NotReady,
                       "records from " + std::to_string(position.applied) + " to " + std::to_string(update.from)
                           + " are missing" };
    }
    if (end < position.applied || position.applied == 0) {
        return std::nullopt;
    }
    const RecordDigest last = update.from == position.applied
                                  ? update.before
                                  : digestOfRecord(update.records[position.applied - 1 - update.from]);
    if (last != position.last) {
        return Error { ErrorKind::Conflict,
                       "record " + std::to_string(position.applied - 1) + " differs: they come from another log" };
    }
    return std::nullopt;
}

} // namespace internal

ConfigState::ConfigState(std::size_t tailBytes)
    : m_tail(tailBytes)
{
}

Result<std::vector<EditOutcome>> ConfigState::applyUpdate(const ConfigUpdate &update)
{
    const std::unique_lock lock(m_tableMutex);
    const Position position { m_table.nextOffset(), m_table.lastRecordDigest() };
    if (auto mismatch = internal::continuityError(update, position)) {
        return tl::make_unexpected(std::move(*mismatch));
    }
    std::vector<EditOutcome> outcomes;
    for (std::size_t index = 0; index < update.records.size(); ++index) {
        if (update.from + index >= position.applied) {
            outcomes.push_back(applyOne(update.from + index, update.records[index]));
        }
    }
    return outcomes;
}

EditOutcome ConfigState::applyOne(Offset offset, const std::string &record)
{
    std::vector<ServiceName> changedServices = servicesChangedBy(record);
    m_tail.add(offset, m_table.lastRecordDigest(), record);
    EditOutcome outcome = m_table.apply(offset, record).value();
    if (outcome.status == EditStatus::Accepted) {
        std::sort(changedServices.begin(), changedServices.end());
        changedServices.erase(std::unique(changedServices.begin(), changedServices.end()), changedServices.end());
        for (const ServiceName &name : changedServices) {
            m_serviceChanges.push_back({ offset, name });
            rebuildView(name);
        }
    }
    while (m_serviceChanges.size() > MaxServiceChanges) {
        m_serviceChangesFrom = m_serviceChanges.front().offset + 1;
        m_serviceChanges.pop_front();
    }
    return outcome;
}

// Returns the services whose views the record may change. Must be called before the record is applied: a target that
// moves to another service also changes the service that it leaves.
std::vector<ServiceName> ConfigState::servicesChangedBy(const std::string &record) const
{
    std::vector<ServiceName> names;
    const auto edit = decodeEdit(record);
    if (!edit) {
        return names;
    }
    for (const Change &change : edit->changes) {
        if (const auto *account = std::get_if<Account>(&change.item)) {
            const auto services = m_table.servicesOf(account->name);
            names.insert(names.end(), services.begin(), services.end());
        } else if (const auto *service = std::get_if<Service>(&change.item)) {
            names.push_back(service->name);
        } else if (const auto *target = std::get_if<Target>(&change.item)) {
            names.push_back(target->service);
            const Target *before = m_table.target(target->name);
            names.push_back(before ? before->service : target->service);
        } else {
            names.push_back(std::get<Row>(change.item).service);
        }
    }
    return names;
}

Result<void> ConfigState::load(ConfigTable table)
{
    const std::unique_lock lock(m_tableMutex);
    if (table.nextOffset() <= m_table.nextOffset()) {
        return failure(ErrorKind::Conflict,
                       "a snapshot at " + std::to_string(table.nextOffset()) + " isn't newer than "
                           + std::to_string(m_table.nextOffset()));
    }
    if (!table.mayShareLogWith(m_table)) {
        return failure(ErrorKind::Conflict, "the snapshot lacks the last edit applied here: it comes from another log");
    }
    m_table = std::move(table);
    m_serviceChanges.clear();
    m_serviceChangesFrom = m_table.nextOffset();
    for (Shard &shard : m_shards) {
        std::vector<ServiceName> names;
        {
            const std::lock_guard shardLock(shard.mutex);
            for (const auto &view : shard.views) {
                names.push_back(view.first);
            }
        }
        for (const ServiceName &name : names) {
            rebuildView(name);
        }
    }
    return {};
}

void ConfigState::releaseView(const ServiceName &name)
{
    Shard &shard = shardOf(name);
    const std::lock_guard shardLock(shard.mutex);
    shard.views.erase(name);
}

// Builds the view without holding the shard's lock; otherwise, a large service would block requests.
void ConfigState::rebuildView(const ServiceName &name)
{
    Shard &shard = shardOf(name);
    {
        const std::lock_guard shardLock(shard.mutex);
        if (!shard.views.contains(name)) {
            return;
        }
    }
    ServiceViewPtr view = buildView(name);
    const std::lock_guard shardLock(shard.mutex);
    if (view) {
        shard.views[name] = std::move(view);
    } else {
        shard.views.erase(name);
    }
}

} // namespace mulberryplank
