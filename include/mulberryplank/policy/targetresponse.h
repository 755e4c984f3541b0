#pragma once

#include <cstdint>
#include <string_view>

namespace mulberryplank
{

// What the status of a target's response says about the response itself.
enum class StatusClass : std::uint8_t {
    Interim, // another response follows on the same connection
    Final,
    Invalid, // it has no meaning in the protocol, so that neither the framing nor the rest can be relied on
};

std::string_view toString(StatusClass statusClass);

// Returns the class of a status. 101 is invalid: no request to a target asks for another protocol.
StatusClass statusClassOf(unsigned status);

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
