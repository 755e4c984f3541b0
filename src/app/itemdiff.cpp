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
constexpr std::size_t RecordOverhead = 1024;

// One field of an item as people read it.
struct DisplayField {
    std::string heading;
    std::string value;
};

template<typename Number>
std::string formatNumber(Number number)
{
    std::array<char, 32> text {};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number);
    return { text.data(), end.ptr };
}

std::vector<DisplayField> displayFields(const Row &row)
{
    return { { "weight", formatNumber(row.weight) },
             { "requests_per_second", formatNumber(row.limits.requestsPerSecond) },
             { "in_flight", formatNumber(row.limits.inFlight) },
             { "queue", formatNumber(row.limits.queue) } };
}

std::string formatRoute(const Route &route)
{
    return route.name + ":" + route.method + ":" + route.pathPrefix + ":" + (route.idempotent ? "idempotent" : "once")
           + ":" + formatNumber(route.timeout.count()) + "ms:" + formatNumber(route.progressTimeout.count()) + "ms";
}

std::vector<DisplayField> displayFields(const Service &service)
{
    std::vector<DisplayField> fields { { "detection", std::string(toString(service.detection)) },
                                       { "floor_share", formatNumber(service.floorShare) },
                                       { "floor_count", formatNumber(service.floorCount) },
                                       { "slots_per_target", formatNumber(service.slotsPerTarget) },
                                       { "connections_per_target", formatNumber(service.connectionsPerTarget) } };
    std::string routes;
    for (const Route &route : service.routes) {
        routes += (routes.empty() ? "" : " ") + formatRoute(route);
    }
    fields.push_back({ "routes", "[" + routes + "]" });
    return fields;
}

std::vector<DisplayField> displayFields(const Target &target)
{
    return { { "service", target.service.value() },
             { "host", target.host },
             { "port", formatNumber(target.port) },
             { "failure_domain", target.failureDomain.value() } };
}

// Returns "heading old -> new" for each field that differs, or nothing where none does.
std::string formatFieldChanges(const std::vector<DisplayField> &before, const std::vector<DisplayField> &after)
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

std::string formatFieldValues(const std::vector<DisplayField> &fields)
{
    std::string text;
    for (const DisplayField &field : fields) {
        text += (text.empty() ? "" : ", ") + field.heading + " " + field.value;
    }
    return text;
}

template<typename Item>
std::map<std::string, const Item *> indexByLabel(const std::vector<Item> &items)
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
        diff.lines.push_back("+ " + label + ": " + formatFieldValues(displayFields(after)));
        diff.changes.push_back({ after, false });
        return;
    }
    const std::string changes = formatFieldChanges(displayFields(*before), displayFields(after));
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
    const auto currentByLabel = internal::indexByLabel(current);
    for (const Row &row : wanted) {
        const Row *before = internal::find(currentByLabel, row);
        const std::size_t changeCount = diff.changes.size();
        internal::addChange(diff, before, row);
        const mulberryplank::Version version = before ? before->version : 0;
        if (diff.changes.size() > changeCount && row.version != version) {
            diff.stale.push_back(itemLabel(row) + ": the file has version " + std::to_string(row.version)
                                 + ", in force is " + std::to_string(version));
        }
    }
    if (!removeMissing) {
        return diff;
    }
    const auto wantedByLabel = internal::indexByLabel(wanted);
    for (const Row &row : current) {
        if (!internal::find(wantedByLabel, row)) {
            diff.lines.push_back("- " + itemLabel(row) + ": "
                                 + internal::formatFieldValues(internal::displayFields(row)));
            diff.changes.push_back({ row, true });
        }
    }
    return diff;
}

ItemDiff serviceDiff(const std::vector<Service> &current, std::vector<Service> wanted, bool withRoutes)
{
    ItemDiff diff;
    const auto currentByLabel = internal::indexByLabel(current);
    for (Service &service : wanted) {
        const Service *before = internal::find(currentByLabel, service);
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
    const auto currentByLabel = internal::indexByLabel(current);
    for (Target &target : wanted) {
        const Target *before = internal::find(currentByLabel, target);
        target.version = before ? before->version : 0;
        internal::addChange(diff, before, target);
    }
    return diff;
}

ItemDiff accountDiff(const std::vector<Account> &current, std::vector<Account> wanted)
{
    ItemDiff diff;
    const auto currentByLabel = internal::indexByLabel(current);
    for (Account &account : wanted) {
        const Account *before = internal::find(currentByLabel, account);
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
        const std::size_t encodedSize = encodeEdit({ {}, { change } }).size();
        if (size + encodedSize > MaxRecordSize - internal::RecordOverhead) {
            parts.emplace_back();
            size = 0;
        }
        size += encodedSize;
        parts.back().push_back(change);
    }
    return parts;
}

} // namespace mulberryplank
