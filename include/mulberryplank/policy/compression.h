#pragma once

#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// Maximum decompressed size of data that is accepted from another process. 19,000 routes take some 3 MB.
inline constexpr std::size_t MaxDecompressedSize = std::size_t { 64 } << 20U;

// Compresses bytes with zstd. `base` is other data that the receiver has; content that both have in common takes almost
// no space. Every change of a configuration produces a whole new one in which usually a single line differs. The same
// arguments give the same result in all processes that use the same version of zstd.
std::string compress(std::string_view bytes, std::string_view base);

// Returns the bytes that were compressed with the same `base`. Errors: BadConfiguration if they can't be decompressed
// or are larger than MaxDecompressedSize.
Result<std::string> decompress(std::string_view compressed, std::string_view base);

} // namespace mulberryplank
