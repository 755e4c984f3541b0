#pragma once

#include <string>
#include <vector>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// The least number of characters of a key: 128 bits in hexadecimal, so that no key can be guessed.
inline constexpr std::size_t MinKeyLength = 32;

// Returns the keys in the file at `path`: one a line, blank lines and lines that begin with '#' left out. Errors:
// BadConfiguration when the file can't be read, holds no key, or holds one that is too short or contains blanks; the
// detail names file and line, and never a key.
Result<std::vector<std::string>> readKeyFile(const std::string &path);

} // namespace mulberryplank
