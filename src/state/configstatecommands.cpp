#include <algorithm>

#include "mulberryplank/state/configstate.h"

namespace mulberryplank
{

namespace internal
{

// Returns what keeps the news from following on what was applied; nothing when they follow.
std::optional<Error> obstacleTo(const ConfigUpdate &news, const ConfigState::Position &position)
{
    const Offset end = news.from + news.records.size();
    if (news.from > position.applied) {
        return Error { ErrorKind::NotReady,
                       "records from " + std::to_string(position.applied) + " to " + std::to_string(news.from)
                           + " are missing" };
    }
    if (end < position.applied || position.applied == 0) {
        return std::nullopt;
    }
    const RecordDigest last =
        news.from == position.applied ? news.before : digestOfRecord(news.records[position.applied - 1 - news.from]);
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

Result<std::vector<EditOutcome>> ConfigState::learn(const ConfigUpdate &news)
{
    const std::unique_lock lock(m_tableMutex);
    const Position position { m_table.nextOffset(), m_table.lastRecordDigest() };
    if (auto obstacle = internal::obstacleTo(news, position)) {
        return tl::make_unexpected(std::move(*obstacle));
    }
    std::vector<EditOutcome> outcomes;
    for (std::size_t index = 0; index < news.records.size(); ++index) {
        if (news.from + index >= position.applied) {
            outcomes.push_back(applyOne(news.from + index, news.records[index]));
        }
    }
    return outcomes;
}

EditOutcome ConfigState::applyOne(Offset offset, const std::string &record)
{
    std::vector<ServiceName> touched = touchedBy(record);
    m_tail.add(offset, m_table.lastRecordDigest(), record);
    EditOutcome outcome = m_table.apply(offset, record).value();
    if (outcome.status == EditStatus::Accepted) {
        std::sort(touched.begin(), touched.end());
        touched.erase(std::unique(touched.begin(), touched.end()), touched.end());
        for (const ServiceName &name : touched) {
            m_touches.push_back({ offset, name });
            rebuildView(name);
        }
    }
    while (m_touches.size() > RememberedTouches) {
        m_touchesFrom = m_touches.front().offset + 1;
        m_touches.pop_front();
    }
    return outcome;
}

// Returns the services whose views the record may change, seen from before it is applied: a target that moves touches
// the service that it leaves.
std::vector<ServiceName> ConfigState::touchedBy(const std::string &record) const
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
    m_touches.clear();
    m_touchesFrom = m_table.nextOffset();
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

// Builds the view outside the shard's lock: a large service would keep requests waiting otherwise.
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
