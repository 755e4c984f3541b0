#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/name.h"

namespace mulberryplank
{

// Requests one extra attempt from another process's budget for a service, or grants one in response. A process that has
// none to lend sends no response.
struct BudgetMessage {
    ServiceName service;
    std::uint64_t requestNumber = 0; // chosen by the requesting process
};

std::string encode(const BudgetMessage &message);

// Decodes verified bytes. Errors: BadRequest.
Result<BudgetMessage> decodeBudgetMessage(std::string_view bytes);

} // namespace mulberryplank
