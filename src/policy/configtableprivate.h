#pragma once

#include <deque>
#include <unordered_map>

#include "configstore.h"
#include "mulberryplank/policy/configtable.h"

namespace mulberryplank
{

struct ConfigTable::Private {
    Offset next = 0;
    RecordDigest lastRecord {};
    internal::ConfigStore store;
    std::deque<EditId> decidedOrder; // oldest first
    std::unordered_map<EditId, EditOutcome> decided;

    void remember(const EditOutcome &outcome);
};

} // namespace mulberryplank
