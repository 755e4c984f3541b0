#pragma once

#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// The bytes of the largest configuration that is taken from another process. 19,000 routes are some 3 MB.
inline constexpr std::size_t MaxConfigurationSize = std::size_t { 64 } << 20U;

// Returns a configuration's bytes made small by zstd. With a `base`, another configuration that the receiver has, what
// both have in common takes next to nothing: every change is a whole new configuration, of which mostly a line differs.
// The same arguments give the same bytes in all processes that use the same zstd.
std::string packConfiguration(std::string_view bytes, std::string_view base);

// Returns the bytes that were packed with the same `base`. Errors: BadConfiguration when they can't be had, or are more
// than MaxConfigurationSize.
Result<std::string> unpackConfiguration(std::string_view packed, std::string_view base);

} // namespace mulberryplank
