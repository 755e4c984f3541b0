#include "mulberryplank/app/itemdiff.h"

#include <array>
#include <charconv>
#include <map>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Room for the record's frame: format, id and brackets.
constexpr std::size_t RecordFrame = 1024;

// One field of an item as people read it.
struct ShownField {
    std::string heading;
    std::string value;
};

template<typename Number>
std::string shown(Number number)
{
    std::array<char, 32> text {};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number);
    return { text.data(), end.ptr };
}

std::vector<ShownField> fieldsOf(const Row &row)
{
    return { { "weight", shown(row.weight) },
             { "requests_per_second", shown(row.limits.requestsPerSecond) },
             { "in_flight", shown(row.limits.inFlight) },
             { "queue", shown(row.limits.queue) } };
}

std::string shownRoute(const Route &route)
{
    return route.name + ":" + route.method + ":" + route.pathPrefix + ":" + (route.idempotent ? "idempotent" : "once")
           + ":" + shown(route.timeout.count()) + "ms:" + shown(route.progressTimeout.count()) + "ms";
}

std::vector<ShownField> fieldsOf(const Service &service)
{
    std::vector<ShownField> fields { { "detection", std::string(toString(service.detection)) },
                                     { "floor_share", shown(service.floorShare) },
                                     { "floor_count", shown(service.floorCount) },
                                     { "slots_per_target", shown(service.slotsPerTarget) },
                                     { "connections_per_target", shown(service.connectionsPerTarget) } };
    std::string routes;
    for (const Route &route : service.routes) {
        routes += (routes.empty() ? "" : " ") + shownRoute(route);
    }
    fields.push_back({ "routes", "[" + routes + "]" });
    return fields;
}

std::vector<ShownField> fieldsOf(const Target &target)
{
    return { { "service", target.service.value() },
             { "host", target.host },
             { "port", shown(target.port) },
             { "failure_domain", target.failureDomain.value() } };
}

// Returns "heading old -> new" for each field that differs, or nothing where none does.
std::string fieldChanges(const std::vector<ShownField> &before, const std::vector<ShownField> &after)
{
    std::string text;
    for (std::size_t index = 0; index < after.size(); ++index) {
        if (before[index].value != after[index].value) {
            text += (text.empty() ? "" : ", ") + after[index].heading + " " + before[index].value + " -> "
                    + after[index].value;
        }
    }
    return text;
}

std::string fieldValues(const std::vector<ShownField> &fields)
{
    std::string text;
    for (const ShownField &field : fields) {
        text += (text.empty() ? "" : ", ") + field.heading + " " + field.value;
    }
    return text;
}

template<typename Item>
std::map<std::string, const Item *> byLabel(const std::vector<Item> &items)
{
    std::map<std::string, const Item *> index;
    for (const Item &item : items) {
        index.emplace(itemLabel(item), &item);
    }
    return index;
}

// Adds what brings `before` (nullptr: nothing there) to `after`; its version is what the change is based on.
template<typename Item>
void addChange(ItemDiff &diff, const Item *before, const Item &after)
{
    const std::string label = itemLabel(after);
    if (!before) {
        diff.lines.push_back("+ " + label + ": " + fieldValues(fieldsOf(after)));
        diff.changes.push_back({ after, false });
        return;
    }
    const std::string changes = fieldChanges(fieldsOf(*before), fieldsOf(after));
    if (!changes.empty()) {
        diff.lines.push_back("~ " + label + ": " + changes);
        diff.changes.push_back({ after, false });
    }
}

template<typename Item>
const Item *find(const std::map<std::string, const Item *> &items, const Item &item)
{
    const auto found = items.find(itemLabel(item));
    return found == items.end() ? nullptr : found->second;
}

} // namespace

} // namespace internal

ItemDiff rowDiff(const std::vector<Row> &current, const std::vector<Row> &wanted, bool removeMissing)
{
    ItemDiff diff;
    const auto present = internal::byLabel(current);
    for (const Row &row : wanted) {
        const Row *before = internal::find(present, row);
        const std::size_t known = diff.changes.size();
        internal::addChange(diff, before, row);
        const mulberryplank::Version version = before ? before->version : 0;
        if (diff.changes.size() > known && row.version != version) {
            diff.stale.push_back(itemLabel(row) + ": the file has version " + std::to_string(row.version)
                                 + ", in force is " + std::to_string(version));
        }
    }
    if (!removeMissing) {
        return diff;
    }
    const auto kept = internal::byLabel(wanted);
    for (const Row &row : current) {
        if (!internal::find(kept, row)) {
            diff.lines.push_back("- " + itemLabel(row) + ": " + internal::fieldValues(internal::fieldsOf(row)));
            diff.changes.push_back({ row, true });
        }
    }
    return diff;
}

ItemDiff serviceDiff(const std::vector<Service> &current, std::vector<Service> wanted, bool withRoutes)
{
    ItemDiff diff;
    const auto present = internal::byLabel(current);
    for (Service &service : wanted) {
        const Service *before = internal::find(present, service);
        service.version = before ? before->version : 0;
        if (before && !withRoutes) {
            service.routes = before->routes;
        }
        internal::addChange(diff, before, service);
    }
    return diff;
}

ItemDiff targetDiff(const std::vector<Target> &current, std::vector<Target> wanted)
{
    ItemDiff diff;
    const auto present = internal::byLabel(current);
    for (Target &target : wanted) {
        const Target *before = internal::find(present, target);
        target.version = before ? before->version : 0;
        internal::addChange(diff, before, target);
    }
    return diff;
}

ItemDiff accountDiff(const std::vector<Account> &current, std::vector<Account> wanted)
{
    ItemDiff diff;
    const auto present = internal::byLabel(current);
    for (Account &account : wanted) {
        const Account *before = internal::find(present, account);
        account.version = before ? before->version : 0;
        diff.lines.push_back((before ? "~ " : "+ ") + itemLabel(account) + ": secret set");
        diff.changes.push_back({ account, false });
    }
    return diff;
}

std::vector<std::vector<Change>> splitForRecords(const std::vector<Change> &changes)
{
    std::vector<std::vector<Change>> parts;
    std::size_t size = MaxRecordSize;
    for (const Change &change : changes) {
        const std::size_t room = encodeEdit({ {}, { change } }).size();
        if (size + room > MaxRecordSize - internal::RecordFrame) {
            parts.emplace_back();
            size = 0;
        }
        size += room;
        parts.back().push_back(change);
    }
    return parts;
}

} // namespace mulberryplank
