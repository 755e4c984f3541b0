#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/buffer.hpp>

namespace standin
{

// A half-open range [first, end) of the bytes of a body.
struct ByteRange {
    std::uint64_t first = 0;
    std::uint64_t end = 0;
};

// The kind of response that the Range header of a download selects.
enum class RangeKind {
    Whole, // no Range, an unsupported one, or an If-Range that doesn't match
    Part,
    Unsatisfiable,
};

struct RangeSelection {
    RangeKind kind = RangeKind::Whole;
    ByteRange bytes;
};

// Returns the size in a path /download/NBYTES, or nothing for any other path.
std::optional<std::uint64_t> downloadSize(std::string_view path);

// Returns the strong ETag of the download of `size` bytes. It is the same on all targets, as the content is.
std::string downloadETag(std::uint64_t size);

// Selects the part of a body of `size` bytes for the values of the headers Range and If-Range, which are empty when
// absent. Supports a single range of the forms a-b, a- and -n.
RangeSelection selectRange(std::string_view range, std::string_view ifRange, std::uint64_t size);

// Returns between one and `maxBytes` bytes of the content of downloads, starting at `offset`. The bytes depend only on
// the offset. The buffer stays valid for the lifetime of the process.
boost::asio::const_buffer contentAt(std::uint64_t offset, std::uint64_t maxBytes);

} // namespace standin
