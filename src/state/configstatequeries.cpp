#include "mulberryplank/state/configstate.h"

#include <set>

namespace mulberryplank
{

ConfigState::Shard &ConfigState::shardOf(const ServiceName &name) const
{
    return m_shards.at(std::hash<ServiceName> {}(name) % ShardCount);
}

ServiceViewPtr ConfigState::service(const ServiceName &name) const
{
    Shard &shard = shardOf(name);
    {
        const std::lock_guard shardLock(shard.mutex);
        const auto found = shard.views.find(name);
        if (found != shard.views.end()) {
            return found->second;
        }
    }
    // Built and stored under the table's lock: an edit between the two would leave a view from before it for good.
    const std::shared_lock lock(m_tableMutex);
    ServiceViewPtr view = buildView(name);
    if (view) {
        const std::lock_guard shardLock(shard.mutex);
        shard.views[name] = view;
    }
    return view;
}

ServiceViewPtr ConfigState::buildView(const ServiceName &name) const
{
    const Service *service = m_table.service(name);
    if (!service) {
        return nullptr;
    }
    boost::intrusive_ptr<ServiceView> view(new ServiceView);
    view->service = *service;
    for (const Target *target : m_table.targetsOf(name)) {
        view->targets.push_back(*target);
    }
    std::vector<Row> rows = m_table.rowsOf(name);
    view->rows.reserve(rows.size());
    for (Row &row : rows) {
        const AccountName account = row.account;
        view->rows.emplace(account, ServiceView::AccountRow { std::move(row), m_table.account(account)->secretDigest });
    }
    return view;
}

std::optional<SecretDigest> ConfigState::accountDigest(const AccountName &name) const
{
    const std::shared_lock lock(m_tableMutex);
    const Account *account = m_table.account(name);
    return account ? std::optional<SecretDigest>(account->secretDigest) : std::nullopt;
}

Offset ConfigState::applied() const
{
    return position().applied;
}

ConfigState::Position ConfigState::position() const
{
    const std::shared_lock lock(m_tableMutex);
    return { m_table.nextOffset(), m_table.lastRecordDigest() };
}

std::optional<EditOutcome> ConfigState::outcomeOf(const EditId &id) const
{
    const std::shared_lock lock(m_tableMutex);
    return m_table.outcomeOf(id);
}

std::optional<ConfigUpdate> ConfigState::newsSince(Offset from) const
{
    const std::shared_lock lock(m_tableMutex);
    return m_tail.since(from);
}

std::optional<std::vector<ServiceName>> ConfigState::touchedSince(Offset from) const
{
    const std::shared_lock lock(m_tableMutex);
    if (from < m_touchesFrom) {
        return std::nullopt;
    }
    std::set<ServiceName> names;
    for (const Touch &touch : m_touches) {
        if (touch.offset >= from) {
            names.insert(touch.service);
        }
    }
    return std::vector<ServiceName>(names.begin(), names.end());
}

std::size_t ConfigState::viewCount() const
{
    std::size_t count = 0;
    for (const Shard &shard : m_shards) {
        const std::lock_guard shardLock(shard.mutex);
        count += shard.views.size();
    }
    return count;
}

void ConfigState::read(const std::function<void(const ConfigTable &)> &reader) const
{
    const std::shared_lock lock(m_tableMutex);
    reader(m_table);
}

} // namespace mulberryplank
