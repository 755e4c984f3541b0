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

// A set of changes that is accepted whole or refused whole.
struct Edit {
    EditId id;
    std::vector<Change> changes;

    bool operator==(const Edit &) const = default;
};

// Returns the record that stands for `edit` in the log: JSON with a format version.
std::string encodeEdit(const Edit &edit);

// Returns the edit that `record` stands for, or BadConfiguration with the place in the record that is wrong.
Result<Edit> decodeEdit(std::string_view record);

} // namespace mulberryplank
