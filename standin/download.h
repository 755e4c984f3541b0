#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/buffer.hpp>

namespace standin
{

// A part of a body, from `first` up to but without `end`.
struct ByteRange {
    std::uint64_t first = 0;
    std::uint64_t end = 0;
};

// What a download request asked for.
enum class RangeKind {
    Whole, // no range, one that isn't understood, or an If-Range that doesn't match
    Part,
    Unsatisfiable,
};

struct RangeSelection {
    RangeKind kind = RangeKind::Whole;
    ByteRange bytes;
};

// Returns the size that a path /download/NBYTES names, or nothing for any other path.
std::optional<std::uint64_t> downloadSize(std::string_view path);

// Returns the strong validator of the download of that size: equal on every target, as the bytes are.
std::string downloadETag(std::uint64_t size);

// Decides what to send of a body of `size` bytes for the headers Range and If-Range; empty when absent. One range of
// the forms a-b, a- and -n is understood.
RangeSelection selectRange(std::string_view range, std::string_view ifRange, std::uint64_t size);

// Returns bytes of the downloads' content from `offset` on: at least one and at maxBytes `maxBytes`. They depend on the
// offset alone and stay valid for the life of the process.
boost::asio::const_buffer contentAt(std::uint64_t offset, std::uint64_t maxBytes);

} // namespace standin
