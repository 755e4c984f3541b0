#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// Names one edit for good. Chosen at random by whoever makes the edit; a repeated append carries the same id.
using EditId = Name<struct EditTag>;

using ConfigItem = std::variant<Account, Service, Target, Row>;

// Sets or removes one item.
struct Change {
    ConfigItem item; // its `version` is the version that the change is based on; 0: the item must not exist
    bool remove = false;

    bool operator==(const Change &) const = default;
};

// A set of changes that is accepted whole or refused whole. The order of the changes carries no meaning, and no two of
// them may be about the same item.
struct Edit {
    EditId id;
    std::vector<Change> changes;

    bool operator==(const Edit &) const = default;
};

// The largest record, in bytes, that the platform's log takes.
inline constexpr std::size_t MaxRecordSize = 1'048'576;

// The longest name of an item, in characters.
inline constexpr std::size_t MaxNameLength = 64;

// Returns "row (kpc, pressdesk)" or the like: what kind of item it is and its name.
std::string itemLabel(const ConfigItem &item);

// Returns the item as JSON in the form that records carry.
std::string encodeItem(const ConfigItem &item);

// Returns the record that stands for `edit` in the log: JSON with a format version.
std::string encodeEdit(const Edit &edit);

// Checks everything that can be told without the table: names, ranges, hosts that are IP numbers, items named twice.
// Returns BadConfiguration with the field's path, such as changes[2].weight, and its value. Whoever submits an edit
// calls it first, so that a wrong edit never reaches the log.
Result<void> checkEdit(const Edit &edit);

// Returns the edit that `record` stands for, or BadConfiguration with the place in the record that is wrong. A decoded
// edit has passed checkEdit().
Result<Edit> decodeEdit(std::string_view record);

} // namespace mulberryplank
