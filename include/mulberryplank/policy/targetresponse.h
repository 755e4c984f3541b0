#pragma once

#include <cstdint>
#include <string_view>

namespace mulberryplank
{

// Which request a target's response belongs to, by the id that it repeats.
enum class ResponseIdentity : std::uint8_t {
    Own, // the request that it was read for
    Missing, // it repeats no id
    Other, // another request
};

std::string_view toString(ResponseIdentity identity);

// Returns which request a response with the id `responseId` belongs to, when it was read for one with `requestId`. A
// request without an id has no id to repeat.
ResponseIdentity identityOf(std::string_view requestId, std::string_view responseId);

// Returns true if callers take the status for a promise that the request has not run and won't.
bool impliesNotRun(unsigned status);

} // namespace mulberryplank
