#include "configstore.h"

#include <utility>

namespace mulberryplank::internal
{

const NamedEntries<AccountEntry> &ConfigStore::accounts() const
{
    return m_accounts;
}

const NamedEntries<ServiceEntry> &ConfigStore::services() const
{
    return m_services;
}

const NamedEntries<TargetEntry> &ConfigStore::targets() const
{
    return m_targets;
}

Row ConfigStore::unpack(const ServiceEntry &service, const PackedRow &packed) const
{
    Row row;
    row.account = m_accounts.at(packed.account).item.name;
    row.service = service.item.name;
    row.weight = packed.weight;
    row.limits = { packed.requestsPerSecond, packed.inFlight, packed.queue };
    row.version = packed.version;
    return row;
}

std::optional<Row> ConfigStore::row(const AccountName &account, const ServiceName &service) const
{
    const auto accountSlot = m_accounts.find(account.value());
    const ServiceEntry *entry = m_services.entry(service.value());
    if (!accountSlot || !entry) {
        return std::nullopt;
    }
    const auto found = entry->rows.find(*accountSlot);
    if (found == entry->rows.end()) {
        return std::nullopt;
    }
    return unpack(*entry, *found);
}

template<typename Entries, typename ItemName>
std::optional<ConfigItem> findIn(const Entries &entries, const ItemName &name)
{
    const auto *entry = entries.entry(name.value());
    return entry ? std::optional<ConfigItem>(entry->item) : std::nullopt;
}

std::optional<ConfigItem> ConfigStore::find(const ConfigItem &key) const
{
    if (const auto *wantedAccount = std::get_if<Account>(&key)) {
        return findIn(m_accounts, wantedAccount->name);
    }
    if (const auto *wantedService = std::get_if<Service>(&key)) {
        return findIn(m_services, wantedService->name);
    }
    if (const auto *wantedTarget = std::get_if<Target>(&key)) {
        return findIn(m_targets, wantedTarget->name);
    }
    const auto &wantedRow = std::get<Row>(key);
    const auto found = row(wantedRow.account, wantedRow.service);
    return found ? std::optional<ConfigItem>(*found) : std::nullopt;
}

std::string ConfigStore::checkSet(const ConfigItem &item) const
{
    if (const auto *newTarget = std::get_if<Target>(&item)) {
        const bool known = m_services.find(newTarget->service.value()).has_value();
        return known ? "" : "there is no service " + newTarget->service.value();
    }
    if (const auto *newRow = std::get_if<Row>(&item)) {
        if (!m_accounts.find(newRow->account.value())) {
            return "there is no account " + newRow->account.value();
        }
        const bool known = m_services.find(newRow->service.value()).has_value();
        return known ? "" : "there is no service " + newRow->service.value();
    }
    return "";
}

std::string ConfigStore::checkRemove(const ConfigItem &key) const
{
    if (const auto *oldAccount = std::get_if<Account>(&key)) {
        const AccountEntry *entry = m_accounts.entry(oldAccount->name.value());
        return entry && entry->rows != 0 ? std::to_string(entry->rows) + " rows still name it" : "";
    }
    if (const auto *oldService = std::get_if<Service>(&key)) {
        const ServiceEntry *entry = m_services.entry(oldService->name.value());
        if (entry && (!entry->rows.empty() || !entry->targets.empty())) {
            return std::to_string(entry->rows.size()) + " rows and " + std::to_string(entry->targets.size())
                   + " targets still name it";
        }
    }
    return "";
}

void ConfigStore::set(const ConfigItem &item)
{
    std::visit(
        [this](const auto &value) {
            setItem(value);
        },
        item);
}

void ConfigStore::remove(const ConfigItem &key)
{
    std::visit(
        [this](const auto &value) {
            removeItem(value);
        },
        key);
}

void ConfigStore::setItem(const Account &account)
{
    if (const auto slot = m_accounts.find(account.name.value())) {
        m_accounts.at(*slot).item = account;
    } else {
        m_accounts.add({ account, 0 });
    }
}

void ConfigStore::setItem(const Service &service)
{
    if (const auto slot = m_services.find(service.name.value())) {
        m_services.at(*slot).item = service;
    } else {
        m_services.add({ service, {}, {} });
    }
}

void ConfigStore::setItem(const Target &target)
{
    removeItem(target);
    const Slot slot = m_targets.add({ target });
    m_services.at(*m_services.find(target.service.value())).targets.push_back(slot);
}

void ConfigStore::setItem(const Row &row)
{
    const Slot account = *m_accounts.find(row.account.value());
    ServiceEntry &service = m_services.at(*m_services.find(row.service.value()));
    const std::size_t erased = service.rows.erase(account);
    const Limits &limits = row.limits;
    service.rows.insert({ account, row.weight, limits.inFlight, limits.queue, limits.requestsPerSecond, row.version });
    m_accounts.at(account).rows += erased == 0 ? 1 : 0;
}

void ConfigStore::removeItem(const Account &account)
{
    if (const auto slot = m_accounts.find(account.name.value())) {
        m_accounts.remove(*slot);
    }
}

void ConfigStore::removeItem(const Service &service)
{
    if (const auto slot = m_services.find(service.name.value())) {
        m_services.remove(*slot);
    }
}

void ConfigStore::removeItem(const Target &target)
{
    const auto slot = m_targets.find(target.name.value());
    if (!slot) {
        return;
    }
    const ServiceName service = m_targets.at(*slot).item.service;
    std::vector<Slot> &siblings = m_services.at(*m_services.find(service.value())).targets;
    std::erase(siblings, *slot);
    m_targets.remove(*slot);
}

void ConfigStore::removeItem(const Row &row)
{
    const auto account = m_accounts.find(row.account.value());
    const auto service = m_services.find(row.service.value());
    if (account && service && m_services.at(*service).rows.erase(*account) != 0) {
        --m_accounts.at(*account).rows;
    }
}

} // namespace mulberryplank::internal
