#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/name.h"

namespace mulberryplank
{

// Asks another process for a part of its allowance of an account, or lends it in response. A process that has too
// little to lend responds with an amount of 0, so that the sender can ask the next one.
struct AllowanceMessage {
    AccountName account;
    std::uint64_t number = 0; // of the query, chosen by the process that asks
    double least = 0; // of a query, in requests; less than that can't be used
    double amount = 0; // in requests: at most wanted by a query, or lent by a response
    std::uint32_t priority = 0; // of the request that a query is for; 0 from processes of earlier versions
};
std::string encode(const AllowanceMessage &message);

// Decodes verified bytes. Errors: BadRequest, also for an amount that is negative or not finite.
Result<AllowanceMessage> decodeAllowanceMessage(std::string_view bytes);

} // namespace mulberryplank
