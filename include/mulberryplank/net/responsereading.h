#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "mulberryplank/net/httpstream.h"

namespace mulberryplank
{

// How the header of a target's response is read.
struct ResponseReading {
    std::uint32_t maxHeaderBytes = 64 * 1024;
    bool headRequest = false; // the response has no body
    std::function<bool()> isCancelled; // checked after each header: reading ends if it returns true
};

// Reads the header of the final response to a request into `parser`, which is replaced for each header. Skips a bounded
// number of interim responses. `stream` and `parser` must outlive the operation. Returns bad_status for a status that
// has no meaning in the protocol, for an interim response with a body, which would be read as the next response, and
// for too many interim responses; otherwise as HttpStream::readHeader().
DataAwaitable<boost::system::error_code> readFinalHeader(HttpStream &stream,
                                                         std::unique_ptr<ResponseParser> &parser,
                                                         ResponseReading reading);

} // namespace mulberryplank
