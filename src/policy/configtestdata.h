#pragma once

#include <string>
#include <vector>

#include <rapidcheck.h>

#include "mulberryplank/policy/configtable.h"

// Edits over a few items, so that random ones meet often.
namespace mulberryplank::testdata
{

inline Account account(const std::string &name, Version version = 0)
{
    Account item { AccountName(name), {}, version };
    item.secretDigest.fill(7);
    return item;
}

inline Service service(const std::string &name, Version version = 0)
{
    Service item;
    item.name = ServiceName(name);
    item.routes.push_back({ "read", "GET", "/", true, Millis(1'000), Millis(500) });
    item.version = version;
    return item;
}

inline Target target(const std::string &name, const std::string &service, Version version = 0)
{
    return { TargetName(name), ServiceName(service), "10.0.0.1", 8'080, FailureDomain("klein-hall"), version };
}

inline Row row(const std::string &account, const std::string &service, std::uint32_t weight = 1, Version version = 0)
{
    return { AccountName(account), ServiceName(service), weight, { 10.5, 4, 8 }, version };
}

inline std::string record(const std::string &id, std::vector<Change> changes)
{
    return encodeEdit({ EditId(id), std::move(changes) });
}

inline Version currentVersion(const ConfigTable &table, const ConfigItem &item)
{
    if (const auto *key = std::get_if<Account>(&item)) {
        const Account *found = table.account(key->name);
        return found ? found->version : 0;
    }
    if (const auto *key = std::get_if<Service>(&item)) {
        const Service *found = table.service(key->name);
        return found ? found->version : 0;
    }
    if (const auto *key = std::get_if<Target>(&item)) {
        const Target *found = table.target(key->name);
        return found ? found->version : 0;
    }
    const auto found = table.row(std::get<Row>(item).account, std::get<Row>(item).service);
    return found ? found->version : 0;
}

// Draws numbers for one record from a single random number.
class NumberSource
{
public:
    explicit NumberSource(std::uint64_t number)
        : m_number(number)
    {
    }

    std::uint64_t below(std::uint64_t end)
    {
        const std::uint64_t number = m_number % end;
        m_number /= end;
        return number;
    }

private:
    std::uint64_t m_number;
};

inline ConfigItem generateItem(NumberSource &source)
{
    const std::string accountName = "a" + std::to_string(source.below(3));
    const std::string serviceName = "s" + std::to_string(source.below(2));
    switch (source.below(4)) {
    case 0:
        return account(accountName);
    case 1:
        return service(serviceName);
    case 2:
        return target("t" + std::to_string(source.below(2)), serviceName);
    default:
        return row(accountName, serviceName, 1 + static_cast<std::uint32_t>(source.below(9)));
    }
}

// Returns a change that mostly names the current version, and else a stale or made-up one.
inline Change generateChange(NumberSource &source, const ConfigTable &table)
{
    Change change { generateItem(source), false };
    const Version current = currentVersion(table, change.item);
    const Version base = source.below(6) == 0 ? source.below(5) : current;
    change.remove = base != 0 && source.below(3) == 0;
    std::visit(
        [base](auto &item) {
            item.version = base;
        },
        change.item);
    return change;
}

// Returns a log of edits: most of them sound, some conflicting, repeated, invalid or damaged.
inline std::vector<std::string> generateLog()
{
    const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, 1ULL << 62U));
    const auto numbers = *rc::gen::resize(80, rc::gen::container<std::vector<std::uint64_t>>(number));
    ConfigTable table;
    std::vector<std::string> log;
    for (const std::uint64_t seed : numbers) {
        NumberSource source(seed);
        const auto kind = source.below(12);
        if (kind == 0 && !log.empty()) {
            log.push_back(log[source.below(log.size())]);
        } else if (kind == 1) {
            log.push_back(R"({"v":2,"id":"later"})");
        } else {
            std::vector<Change> changes { generateChange(source, table) };
            const Change second = generateChange(source, table);
            if (source.below(2) == 0 && itemLabel(second.item) != itemLabel(changes[0].item)) {
                changes.push_back(second);
            }
            log.push_back(record("e" + std::to_string(log.size()), std::move(changes)));
        }
        RC_ASSERT(table.apply(table.nextOffset(), log.back()).has_value());
    }
    return log;
}

// Applies the records from the table's next offset up to `end`.
inline void applyUpTo(ConfigTable &table, const std::vector<std::string> &log, Offset end)
{
    while (table.nextOffset() < end) {
        RC_ASSERT(table.apply(table.nextOffset(), log[table.nextOffset()]).has_value());
    }
}

} // namespace mulberryplank::testdata
