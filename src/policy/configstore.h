#pragma once

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/unordered/unordered_flat_set.hpp>

#include "mulberryplank/policy/edit.h"

namespace mulberryplank::internal
{

// A small number that stands for an entry as long as the entry exists.
using Slot = std::uint32_t;

// Entries found by name. Entries never move, and the index holds four bytes for each, so that hundreds of thousands
// of them cost little more than their content. Entry has a member `item` with a member `name`.
template<typename Entry>
class NamedEntries
{
public:
    NamedEntries()
        : m_index(0, SlotHash { &m_entries }, SlotEqual { &m_entries })
    {
    }
    NamedEntries(const NamedEntries &) = delete;
    NamedEntries &operator=(const NamedEntries &) = delete;

    std::optional<Slot> find(std::string_view name) const
    {
        const auto found = m_index.find(name);
        return found == m_index.end() ? std::nullopt : std::optional<Slot>(*found);
    }

    const Entry *entry(std::string_view name) const
    {
        const auto found = find(name);
        return found ? &m_entries[*found] : nullptr;
    }

    Entry &at(Slot slot)
    {
        return m_entries[slot];
    }

    const Entry &at(Slot slot) const
    {
        return m_entries[slot];
    }

    // Adds an entry, whose name must be new.
    Slot add(Entry entry)
    {
        Slot slot = static_cast<Slot>(m_entries.size());
        if (m_free.empty()) {
            m_entries.push_back(std::move(entry));
        } else {
            slot = m_free.back();
            m_free.pop_back();
            m_entries[slot] = std::move(entry);
        }
        m_index.insert(slot);
        return slot;
    }

    void remove(Slot slot)
    {
        m_index.erase(slot);
        m_entries[slot] = Entry {};
        m_free.push_back(slot);
    }

    // Returns the entries in order of name.
    std::vector<const Entry *> sorted() const
    {
        std::vector<const Entry *> entries;
        entries.reserve(m_index.size());
        for (const Slot slot : m_index) {
            entries.push_back(&m_entries[slot]);
        }
        const auto byName = [](const Entry *a, const Entry *b) {
            return a->item.name < b->item.name;
        };
        std::sort(entries.begin(), entries.end(), byName);
        return entries;
    }

private:
    struct SlotHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the standard's name
        const std::deque<Entry> *entries;

        std::size_t operator()(std::string_view name) const
        {
            return std::hash<std::string_view> {}(name);
        }
        std::size_t operator()(Slot slot) const
        {
            return operator()(std::string_view((*entries)[slot].item.name.value()));
        }
    };

    struct SlotEqual {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the standard's name
        const std::deque<Entry> *entries;

        bool operator()(Slot a, Slot b) const
        {
            return a == b;
        }
        bool operator()(std::string_view name, Slot slot) const
        {
            return (*entries)[slot].item.name.value() == name;
        }
        bool operator()(Slot slot, std::string_view name) const
        {
            return operator()(name, slot);
        }
    };

    std::deque<Entry> m_entries;
    std::vector<Slot> m_free;
    boost::unordered_flat_set<Slot, SlotHash, SlotEqual> m_index;
};

struct AccountEntry {
    Account item;
    std::uint32_t rows = 0; // how many rows name it
};

struct TargetEntry {
    Target item;
};

// A row without its service's name and with a number for its account.
struct PackedRow {
    Slot account = 0;
    std::uint32_t weight = 1;
    std::uint32_t inFlight = 0;
    std::uint32_t queue = 0;
    double requestsPerSecond = 0;
    Version version = 0;
};

struct PackedRowHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): the standard's name

    std::size_t operator()(Slot account) const
    {
        return std::hash<Slot> {}(account);
    }
    std::size_t operator()(const PackedRow &row) const
    {
        return operator()(row.account);
    }
};

struct PackedRowEqual {
    using is_transparent = void; // NOLINT(readability-identifier-naming): the standard's name

    bool operator()(const PackedRow &a, const PackedRow &b) const
    {
        return a.account == b.account;
    }
    bool operator()(Slot account, const PackedRow &row) const
    {
        return account == row.account;
    }
    bool operator()(const PackedRow &row, Slot account) const
    {
        return account == row.account;
    }
};

struct ServiceEntry {
    Service item;
    std::vector<Slot> targets;
    boost::unordered_flat_set<PackedRow, PackedRowHash, PackedRowEqual> rows;
};

// The items of a table with their references to each other. Knows nothing of edits and versions.
class ConfigStore
{
public:
    ConfigStore() = default;
    ConfigStore(const ConfigStore &) = delete;
    ConfigStore &operator=(const ConfigStore &) = delete;

    const NamedEntries<AccountEntry> &accounts() const;
    const NamedEntries<ServiceEntry> &services() const;
    const NamedEntries<TargetEntry> &targets() const;

    std::optional<Row> row(const AccountName &account, const ServiceName &service) const;
    Row unpack(const ServiceEntry &service, const PackedRow &row) const;

    // Returns the stored item with the name of `key`.
    std::optional<ConfigItem> find(const ConfigItem &key) const;

    // Returns why the item can't be set, such as a missing service that it refers to; empty when it can.
    std::string checkSet(const ConfigItem &item) const;

    // Returns why the item can't be removed, such as rows that refer to it; empty when it can.
    std::string checkRemove(const ConfigItem &key) const;

    // Adds or replaces the item; checkSet() must be empty.
    void set(const ConfigItem &item);

    // Removes the item with the name of `key`, if any; checkRemove() must be empty.
    void remove(const ConfigItem &key);

private:
    void setItem(const Account &account);
    void setItem(const Service &service);
    void setItem(const Target &target);
    void setItem(const Row &row);
    void removeItem(const Account &account);
    void removeItem(const Service &service);
    void removeItem(const Target &target);
    void removeItem(const Row &row);

    NamedEntries<AccountEntry> m_accounts;
    NamedEntries<ServiceEntry> m_services;
    NamedEntries<TargetEntry> m_targets;
};

} // namespace mulberryplank::internal
