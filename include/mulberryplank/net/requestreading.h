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

// Returns true if `buffer` begins with the whole header of a request, false if more of it must be read. Errors:
// HeaderTooLarge, and BadRequest for a header that could be used for request smuggling.
Result<bool> hasRequestHeader(const boost::beast::flat_buffer &buffer, std::uint32_t maxBytes);

// Takes the header that hasRequestHeader() has found out of the stream's buffer. Errors: as readRequestHeader().
Result<void> takeRequestHeader(HttpStream &stream, RequestParser &parser);

// Shuts down the sending side of a connection after a response, then reads and discards input for at most `limit`, or
// up to `deliveryLimit` while the other end hasn't acknowledged the response. The caller of the function closes the
// stream afterwards. Closing it while the other end still sends would make the operating system send a reset, which may
// overtake the response and destroy it at the other end.
DataAwaitable<void> lingeringClose(HttpStream &stream, Duration limit, Duration deliveryLimit);

// Resets the connection so that the caller sees an error. A plain close could be taken for the end of a response.
void abortConnection(HttpStream &stream);

} // namespace mulberryplank
