#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// How the end of a response body is determined.
enum class BodyFraming : std::uint8_t {
    None, // HEAD, 204, 304: no body
    Length, // Content-Length
    Chunked,
    UntilClose, // can't be distinguished from a broken connection
};

// The header fields of a response that describe its body. Strings are empty if the field is absent.
struct BodyHeader {
    int status = 200;
    BodyFraming framing = BodyFraming::Length;
    std::uint64_t length = 0; // with BodyFraming::Length
    std::string etag;
    std::string contentRange;
};

// A value of Content-Range: "bytes first-last/total".
struct ByteRange {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t total = 0;

    bool operator==(const ByteRange &) const = default;
};

// Returns the range of a Content-Range value, or nullopt if the value has another form or an impossible range.
std::optional<ByteRange> parseContentRange(std::string_view value);

// Returns true for a strong entity tag, which guarantees byte equality: quoted and without "W/".
bool isStrongEtag(std::string_view etag);

// Header fields of the request to another target for the rest of a body. The caller's own conditional headers
// (If-None-Match, If-Match, If-Modified-Since, If-Unmodified-Since, If-Range, Range) must not be sent with them.
struct ResumeRequest {
    std::string range; // value of Range
    std::string ifRange; // value of If-Range
};

// Tracks the body of one response: counts its bytes, determines whether it is complete, and whether and how the rest
// can be fetched from another target. Without it, a connection that breaks during a download would look like the end of
// the body and the caller would keep half a file. Or the rest would come from a newer version of the resource and the
// caller would keep a mix of both.
class BodyProgress
{
public:
    // `header` is the header of the response that is forwarded to the caller.
    explicit BodyProgress(BodyHeader header);

    // Returns how many of the `bytes` just read belong to the body. If that is less than `bytes`, the target sent too
    // much: the excess must not be forwarded and the connection must not be reused.
    std::uint64_t accept(std::uint64_t bytes);

    // Returns the number of bytes accepted so far.
    std::uint64_t received() const;

    // Returns true once every byte has been accepted. Always false for chunked bodies, whose end is their last chunk.
    bool complete() const;

    // Returns true if the body is complete when its framing reports the end.
    bool isCompleteAtEnd() const;

    // Returns the request for the rest of the body. Returns nullopt if nothing is missing, or if the rest can't be
    // proven to match: no length, no strong ETag, or a status other than 200 or 206.
    std::optional<ResumeRequest> resumeRequest() const;

    // Returns true if a response with this header has exactly the missing rest of this body.
    bool isContinuedBy(const BodyHeader &header) const;

private:
    BodyHeader m_header;
    std::optional<ByteRange> m_range; // bytes of the representation that this body holds
    std::uint64_t m_received = 0;
};

} // namespace mulberryplank
