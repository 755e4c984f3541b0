#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// How an answer's end is known.
enum class BodyFraming : std::uint8_t {
    None, // HEAD, 204, 304: no body
    Length, // Content-Length
    Chunked,
    UntilClose, // can't be told from a cut connection
};

// The part of an answer's header that says which bytes follow. Strings are empty where the header is absent.
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

// Returns the range that a Content-Range value names, or nothing for another form or an impossible range.
std::optional<ByteRange> parseContentRange(std::string_view value);

// Returns true for an entity tag that promises byte equality: quoted and without "W/".
bool isStrongEtag(std::string_view etag);

// Headers of the request that asks another target for the rest of a body. The caller's own conditional headers
// (If-None-Match, If-Match, If-Modified-Since, If-Unmodified-Since, If-Range, Range) must not go with them.
struct ResumeRequest {
    std::string range; // value of Range
    std::string ifRange; // value of If-Range
};

// Follows one answer's body: counts its bytes, knows when it is whole, and says whether and how the rest can be fetched
// from another target. What goes wrong without it: a connection that breaks in a download looks like its end, and the
// caller keeps half a file; or the rest comes from a newer version, and the caller keeps a mix of both.
class BodyProgress
{
public:
    // Begins with the header of the answer that is passed on to the caller.
    explicit BodyProgress(BodyHeader header);

    // Returns how many of `bytes` just read belong to the body. Less than `bytes`: the target sent too much; what lies
    // behind must not be passed on and the connection must not be reused.
    std::uint64_t accept(std::uint64_t bytes);

    // Returns the bytes accepted so far.
    std::uint64_t received() const;

    // Returns true once every byte has been accepted. Always false for chunked bodies, whose end is their last chunk.
    bool complete() const;

    // Returns true if the end that the framing reports is the true end of the body.
    bool isCompleteAtEnd() const;

    // Returns the request for the rest, or nothing when it can't be proven that the rest would fit: no length, no
    // strong ETag, a status other than 200 or 206, or nothing missing.
    std::optional<ResumeRequest> resumeRequest() const;

    // Returns true if an answer with that header carries exactly the missing rest of this body.
    bool isContinuedBy(const BodyHeader &header) const;

private:
    BodyHeader m_header;
    std::optional<ByteRange> m_range; // bytes of the representation that this body holds
    std::uint64_t m_received = 0;
};

} // namespace mulberryplank
