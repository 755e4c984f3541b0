#include "mulberryplank/policy/configtable.h"

#include <array>
#include <numeric>

#include <openssl/sha.h>

#include "configtableprivate.h"

namespace mulberryplank
{

namespace internal
{

constexpr std::array<std::string_view, 5> StatusNames { "accepted", "conflict", "invalid", "repeated", "unreadable" };

// Bounds the memory used by remembered outcomes.
constexpr std::size_t MaxDetailSize = 512;

EditOutcome outcome(const EditId &id, Offset offset, EditStatus status, const std::string &detail)
{
    return { id, offset, status, detail.substr(0, MaxDetailSize) };
}

Version versionOf(const ConfigItem &item)
{
    return std::visit(
        [](const auto &value) {
            return value.version;
        },
        item);
}

ConfigItem withVersion(ConfigItem item, Version version)
{
    std::visit(
        [version](auto &value) {
            value.version = version;
        },
        item);
    return item;
}

// Returns the stage in which a change is applied. The changes of an edit are applied by stage instead of in their order
// in the edit: items that refer to others are removed first and set last. Thus only the table after the whole edit has
// to be consistent.
int stageOf(const Change &change)
{
    const bool refers = std::holds_alternative<Row>(change.item) || std::holds_alternative<Target>(change.item);
    if (change.remove) {
        return refers ? 0 : 3;
    }
    return refers ? 2 : 1;
}

std::vector<std::size_t> orderOf(const std::vector<Change> &changes)
{
    std::vector<std::size_t> order(changes.size());
    std::iota(order.begin(), order.end(), 0);
    const auto byStage = [&](std::size_t a, std::size_t b) {
        return stageOf(changes[a]) < stageOf(changes[b]);
    };
    std::stable_sort(order.begin(), order.end(), byStage);
    return order;
}

std::string pathOf(std::size_t index, const Change &change)
{
    return "changes[" + std::to_string(index) + "]: " + itemLabel(change.item);
}

// Returns a description of the first item that was changed since the version on which the edit is based, or an empty
// string if there is none.
std::string conflictOf(const ConfigStore &store, const Edit &edit)
{
    for (std::size_t index = 0; index < edit.changes.size(); ++index) {
        const Change &change = edit.changes[index];
        const auto current = store.find(change.item);
        const Version base = versionOf(change.item);
        const Version version = current ? versionOf(*current) : 0;
        if (base != version) {
            const std::string now = current ? encodeItem(*current) : "none";
            return pathOf(index, change) + " is at version " + std::to_string(version) + ", the edit was based on "
                   + std::to_string(base) + "; now: " + now;
        }
    }
    return "";
}

// Applies all changes of one edit, or none of them.
class Transaction
{
public:
    Transaction(ConfigStore &store, Version version)
        : m_store(store)
        , m_version(version)
    {
    }

    // Applies the changes. If the edit is invalid, undoes the changes applied so far and returns the reason. Otherwise
    // returns an empty string.
    std::string run(const std::vector<Change> &changes)
    {
        for (const std::size_t index : orderOf(changes)) {
            const Change &change = changes[index];
            const std::string reason = change.remove ? m_store.checkRemove(change.item) : m_store.checkSet(change.item);
            if (!reason.empty()) {
                undo();
                return pathOf(index, change) + ": " + reason;
            }
            perform(change);
        }
        return "";
    }

private:
    struct Undo {
        ConfigItem key;
        std::optional<ConfigItem> before;
    };

    void perform(const Change &change)
    {
        m_undo.push_back({ change.item, m_store.find(change.item) });
        if (change.remove) {
            m_store.remove(change.item);
        } else {
            m_store.set(withVersion(change.item, m_version));
        }
    }

    void undo()
    {
        for (auto step = m_undo.rbegin(); step != m_undo.rend(); ++step) {
            if (step->before) {
                m_store.set(*step->before);
            } else {
                m_store.remove(step->key);
            }
        }
    }

    ConfigStore &m_store;
    Version m_version;
    std::vector<Undo> m_undo;
};

EditOutcome decide(ConfigStore &store, Offset offset, const Edit &edit)
{
    if (const std::string conflict = conflictOf(store, edit); !conflict.empty()) {
        return outcome(edit.id, offset, EditStatus::Conflict, conflict);
    }
    const std::string reason = Transaction(store, offset + 1).run(edit.changes);
    if (!reason.empty()) {
        return outcome(edit.id, offset, EditStatus::Invalid, reason);
    }
    return outcome(edit.id, offset, EditStatus::Accepted, "");
}

} // namespace internal

std::string_view toString(EditStatus status)
{
    return internal::StatusNames.at(static_cast<std::size_t>(status));
}

std::optional<EditStatus> editStatusFromString(std::string_view name)
{
    const auto *found = std::find(internal::StatusNames.begin(), internal::StatusNames.end(), name);
    if (found == internal::StatusNames.end()) {
        return std::nullopt;
    }
    return static_cast<EditStatus>(found - internal::StatusNames.begin());
}

RecordDigest digestOfRecord(std::string_view record)
{
    RecordDigest digest {};
    SHA256(reinterpret_cast<const unsigned char *>(record.data()), record.size(), digest.data());
    return digest;
}

void ConfigTable::Private::remember(const EditOutcome &outcome)
{
    decided.emplace(outcome.id, outcome);
    decidedOrder.push_back(outcome.id);
    if (decidedOrder.size() > MaxRememberedEdits) {
        decided.erase(decidedOrder.front());
        decidedOrder.pop_front();
    }
}

ConfigTable::ConfigTable()
    : m_d(std::make_unique<Private>())
{
}

ConfigTable::~ConfigTable() = default;
ConfigTable::ConfigTable(ConfigTable &&) noexcept = default;
ConfigTable &ConfigTable::operator=(ConfigTable &&) noexcept = default;

Offset ConfigTable::nextOffset() const
{
    return m_d->next;
}

const RecordDigest &ConfigTable::lastRecordDigest() const
{
    return m_d->lastRecord;
}

Result<EditOutcome> ConfigTable::apply(Offset offset, std::string_view record)
{
    if (offset != m_d->next) {
        const std::string what = offset < m_d->next ? " was applied already, " : " would leave a gap, ";
        return failure(ErrorKind::Conflict,
                       "record " + std::to_string(offset) + what + std::to_string(m_d->next) + " is next");
    }
    ++m_d->next;
    m_d->lastRecord = digestOfRecord(record);
    const auto edit = decodeEdit(record);
    if (!edit) {
        return internal::outcome({}, offset, EditStatus::Unreadable, edit.error().detail);
    }
    if (const auto first = outcomeOf(edit->id)) {
        const std::string detail = "decided at offset " + std::to_string(first->offset) + ": "
                                   + std::string(toString(first->status))
                                   + (first->detail.empty() ? "" : ", " + first->detail);
        return internal::outcome(edit->id, offset, EditStatus::Repeated, detail);
    }
    EditOutcome outcome = internal::decide(m_d->store, offset, *edit);
    m_d->remember(outcome);
    return outcome;
}

const Account *ConfigTable::account(const AccountName &name) const
{
    const auto *entry = m_d->store.accounts().entry(name.value());
    return entry ? &entry->item : nullptr;
}

const Service *ConfigTable::service(const ServiceName &name) const
{
    const auto *entry = m_d->store.services().entry(name.value());
    return entry ? &entry->item : nullptr;
}

const Target *ConfigTable::target(const TargetName &name) const
{
    const auto *entry = m_d->store.targets().entry(name.value());
    return entry ? &entry->item : nullptr;
}

std::optional<Row> ConfigTable::row(const AccountName &account, const ServiceName &service) const
{
    return m_d->store.row(account, service);
}

std::vector<const Account *> ConfigTable::accounts() const
{
    std::vector<const Account *> items;
    for (const auto *entry : m_d->store.accounts().sorted()) {
        items.push_back(&entry->item);
    }
    return items;
}

std::vector<const Service *> ConfigTable::services() const
{
    std::vector<const Service *> items;
    for (const auto *entry : m_d->store.services().sorted()) {
        items.push_back(&entry->item);
    }
    return items;
}

std::vector<const Target *> ConfigTable::targetsOf(const ServiceName &service) const
{
    std::vector<const Target *> items;
    if (const auto *entry = m_d->store.services().entry(service.value())) {
        for (const internal::Slot slot : entry->targets) {
            items.push_back(&m_d->store.targets().at(slot).item);
        }
    }
    const auto byName = [](const Target *a, const Target *b) {
        return a->name < b->name;
    };
    std::sort(items.begin(), items.end(), byName);
    return items;
}

std::vector<Row> ConfigTable::rowsOf(const ServiceName &service) const
{
    std::vector<Row> items;
    if (const auto *entry = m_d->store.services().entry(service.value())) {
        items.reserve(entry->rows.size());
        for (const internal::PackedRow &packed : entry->rows) {
            items.push_back(m_d->store.unpack(*entry, packed));
        }
    }
    const auto byAccount = [](const Row &a, const Row &b) {
        return a.account < b.account;
    };
    std::sort(items.begin(), items.end(), byAccount);
    return items;
}

std::vector<Row> ConfigTable::rows() const
{
    std::vector<Row> items;
    for (const Service *service : services()) {
        std::vector<Row> serviceRows = rowsOf(service->name);
        std::move(serviceRows.begin(), serviceRows.end(), std::back_inserter(items));
    }
    const auto byAccount = [](const Row &a, const Row &b) {
        return a.account < b.account;
    };
    std::stable_sort(items.begin(), items.end(), byAccount);
    return items;
}

std::vector<ServiceName> ConfigTable::servicesOf(const AccountName &account) const
{
    std::vector<ServiceName> names;
    const auto slot = m_d->store.accounts().find(account.value());
    if (!slot) {
        return names;
    }
    for (const auto *entry : m_d->store.services().sorted()) {
        if (entry->rows.contains(*slot)) {
            names.push_back(entry->item.name);
        }
    }
    return names;
}

std::optional<EditOutcome> ConfigTable::outcomeOf(const EditId &id) const
{
    const auto found = m_d->decided.find(id);
    return found == m_d->decided.end() ? std::nullopt : std::optional<EditOutcome>(found->second);
}

bool ConfigTable::mayShareLogWith(const ConfigTable &older) const
{
    if (older.m_d->decidedOrder.empty()) {
        return true;
    }
    const EditOutcome &last = older.m_d->decided.at(older.m_d->decidedOrder.back());
    if (const auto same = outcomeOf(last.id)) {
        return *same == last;
    }
    const std::deque<EditId> &order = m_d->decidedOrder;
    const bool rememberedFarEnough =
        order.size() < MaxRememberedEdits || m_d->decided.at(order.front()).offset <= last.offset;
    return !rememberedFarEnough;
}

} // namespace mulberryplank
