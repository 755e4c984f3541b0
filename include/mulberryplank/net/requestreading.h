#pragma once

#include <cstdint>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/net/httpstream.h"

namespace mulberryplank
{

// Reads a request's header into `parser` after checking it for request smuggling. The stream's deadline must be set
// before by readingExpiresAt(). Errors: HeaderTooLarge, BodyTooLarge, BadRequest, RequestTimeout when the deadline
// passed, Cancelled when the connection ended.
DataAwaitable<Result<void>> readRequestHeader(HttpStream &stream, RequestParser &parser, std::uint32_t maxBytes);

// Shuts down the sending side of a connection after a response, then reads and discards input for at most `limit`. The
// caller of the function closes the stream afterwards. Closing it while the other end still sends would make the
// operating system send a reset, which may overtake the response and destroy it at the other end.
DataAwaitable<void> lingeringClose(HttpStream &stream, Duration limit);

// Resets the connection so that the caller sees an error. A plain close could be taken for the end of a response.
void abortConnection(HttpStream &stream);

} // namespace mulberryplank
