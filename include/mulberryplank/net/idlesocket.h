#pragma once

namespace mulberryplank
{

// Returns true if a connection on which no response is awaited has input, has been closed by its other end, or has
// failed. The next response that is read from it would not be the one to the next request. `socket` is a descriptor.
bool hasUnexpectedInput(int socket);

} // namespace mulberryplank
