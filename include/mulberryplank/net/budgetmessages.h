#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/name.h"

namespace mulberryplank
{

// A process asks another for one extra attempt of a service's budget, or gives one away in answer. Who has none to give
// doesn't answer.
struct BudgetMessage {
    ServiceName service;
    std::uint64_t requestNumber = 0; // its number, as the process that asks counts
};

std::string encode(const BudgetMessage &message);

// Decodes verified bytes. Errors: BadRequest.
Result<BudgetMessage> decodeBudgetMessage(std::string_view bytes);

} // namespace mulberryplank
