#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/membershipmessage.h"

namespace mulberryplank
{

// Encode and decode what members send each other. Decoding is for verified bytes only. Errors: BadRequest.
std::string encode(const MembershipMessage &message);
Result<MembershipMessage> decodeMembershipMessage(std::string_view bytes);

std::string encode(const std::vector<MemberUpdate> &updates);
Result<std::vector<MemberUpdate>> decodeMemberUpdates(std::string_view bytes);

std::string encode(const MemberExchange &exchange);
Result<MemberExchange> decodeMemberExchange(std::string_view bytes);

} // namespace mulberryplank
