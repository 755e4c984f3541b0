#pragma once

#include <cstdint>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/net/httpstream.h"

namespace mulberryplank
{

// Reads a request's header into `parser`, after the checks against request smuggling. The stream's deadline is the
// caller's to set: readingExpiresAt(). Errors: HeaderTooLarge, BodyTooLarge, BadRequest, RequestTimeout when the
// deadline passed, Cancelled when the connection ended.
DataAwaitable<Result<void>> readRequestHeader(HttpStream &stream, RequestParser &parser, std::uint32_t maxBytes);

// Ends a connection after an answer of ours: our side first, then what still comes is read and dropped for at most
// `limit`. Closing while the caller still sends makes the system answer with a reset, which may overtake the answer and
// destroy it at the caller.
DataAwaitable<void> lingeringClose(HttpStream &stream, Duration limit);

// Ends the connection so that the caller sees an error: a plain close could pass for the end of an answer.
void abortConnection(HttpStream &stream);

} // namespace mulberryplank
