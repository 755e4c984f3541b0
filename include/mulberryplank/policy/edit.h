#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// Unique id of an edit, generated at random by the process that creates the edit. A repeated append has the same id.
using EditId = Name<struct EditTag>;

using ConfigItem = std::variant<Account, Service, Target, Row>;

// Sets or removes one item.
struct Change {
    ConfigItem item; // its `version` is the version on which the change is based; 0: the item must not exist
    bool remove = false;

    bool operator==(const Change &) const = default;
};

// A set of changes that is accepted or rejected as a whole. The order of the changes has no meaning, and each item may
// be changed only once.
struct Edit {
    EditId id;
    std::vector<Change> changes;

    bool operator==(const Edit &) const = default;
};

// Maximum size in bytes of a record in the platform's log.
inline constexpr std::size_t MaxRecordSize = 1'048'576;

// Maximum length in characters of an item's name.
inline constexpr std::size_t MaxNameLength = 64;

// Returns the kind and the name of the item, such as "row (kpc, pressdesk)".
std::string itemLabel(const ConfigItem &item);

// Returns the item as JSON in the format of records.
std::string encodeItem(const ConfigItem &item);

// Returns the log record of `edit`: JSON with a format version.
std::string encodeEdit(const Edit &edit);

// Checks everything that can be checked without the table: names, ranges, that hosts are IP addresses, and that no item
// is changed twice. Returns BadConfiguration with the field's path, such as changes[2].weight, and its value. Must be
// called before an edit is submitted, so that an invalid edit never reaches the log.
Result<void> checkEdit(const Edit &edit);

// Returns the edit in `record`, or BadConfiguration with the position of the error in the record. A decoded edit has
// passed checkEdit().
Result<Edit> decodeEdit(std::string_view record);

} // namespace mulberryplank
