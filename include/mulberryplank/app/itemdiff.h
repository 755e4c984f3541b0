#pragma once

#include <string>
#include <vector>

#include "mulberryplank/policy/edit.h"

namespace mulberryplank
{

// What an import would do.
struct ItemDiff {
    std::vector<Change> changes; // exactly the items that differ
    std::vector<std::string> lines; // one for each change, for people: "~ row (kpc, pressdesk): weight 1 -> 3"
    std::vector<std::string> stale; // labels of items that somebody else has changed since the file was exported
};

// Returns what brings the table from `current` to `wanted`. A row of a file carries the version that it was exported
// with. Where that version is no longer the current one and the content differs, it can't be told whose change came
// last, so the row is stale and nothing should be sent. Rows missing from `wanted` stay, unless `removeMissing`.
ItemDiff rowDiff(const std::vector<Row> &current, const std::vector<Row> &wanted, bool removeMissing);

// Does the same for services and targets, whose files carry no versions: changes are based on the current ones.
// Nothing is removed. Services keep their routes unless `withRoutes`.
ItemDiff serviceDiff(const std::vector<Service> &current, std::vector<Service> wanted, bool withRoutes);
ItemDiff targetDiff(const std::vector<Target> &current, std::vector<Target> wanted);

// Does the same for accounts. Proxies don't give out digests, so each account of the file is set; an account that
// has that secret already keeps it. Only `name` and `version` of `current` count.
ItemDiff accountDiff(const std::vector<Account> &current, std::vector<Account> wanted);

// Splits changes into lists whose edits fit into a record of the log each.
std::vector<std::vector<Change>> splitForRecords(const std::vector<Change> &changes);

} // namespace mulberryplank
