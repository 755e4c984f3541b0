#pragma once

#include <string>
#include <vector>

#include "mulberryplank/policy/edit.h"

namespace mulberryplank
{

// The changes that an import makes.
struct ItemDiff {
    std::vector<Change> changes; // one for each item that differs
    std::vector<std::string> lines; // one for each change, for display: "~ row (kpc, pressdesk): weight 1 -> 3"
    std::vector<std::string> stale; // labels of items that another operator changed after the export
};

// Returns the changes from `current` to `wanted`. A row of a file has the version with which it was exported. When that
// version isn't the current one and the content differs, it is unknown which change is the more recent one. The row is
// then stale and the caller must not send the changes. Rows missing from `wanted` stay, unless `removeMissing` is set.
ItemDiff rowDiff(const std::vector<Row> &current, const std::vector<Row> &wanted, bool removeMissing);

// Does the same for services and targets. Their files have no versions, so changes are based on the current ones.
// Nothing is removed. Services keep their routes unless `withRoutes` is set.
ItemDiff serviceDiff(const std::vector<Service> &current, std::vector<Service> wanted, bool withRoutes);
ItemDiff targetDiff(const std::vector<Target> &current, std::vector<Target> wanted);

// Does the same for accounts. Proxies don't list digests, so each account of the file is set; an account that
// already has that secret keeps it. Only `name` and `version` of `current` are used.
ItemDiff accountDiff(const std::vector<Account> &current, std::vector<Account> wanted);

// Splits changes into lists so that the edit of each list fits into one record of the log.
std::vector<std::vector<Change>> splitForRecords(const std::vector<Change> &changes);

} // namespace mulberryplank
