#pragma once

#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// The most bytes that are taken from another process in compressed form, or for the sake of it. 19,000 routes are some
// 3 MB.
inline constexpr std::size_t MaxDecompressedSize = std::size_t { 64 } << 20U;

// Returns bytes made small by zstd. With a `base`, other bytes that the receiver has, what both have in common takes
// next to nothing: every change of a configuration is a whole new one, of which mostly a line differs. The same
// arguments give the same bytes in all processes that use the same zstd.
std::string compress(std::string_view bytes, std::string_view base);

// Returns the bytes that were compressed with the same `base`. Errors: BadConfiguration when they can't be had, or are
// more than MaxDecompressedSize.
Result<std::string> decompress(std::string_view compressed, std::string_view base);

} // namespace mulberryplank
