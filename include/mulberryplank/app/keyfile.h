#pragma once

#include <string>
#include <vector>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// Minimum number of characters of a key: 128 bits in hexadecimal, so that a key can't be guessed.
inline constexpr std::size_t MinKeyLength = 32;

// Returns the keys in the file at `path`, one per line. Blank lines and lines that begin with '#' are skipped. Errors:
// BadConfiguration when the file can't be read, has no key, or has one that is too short or contains blanks. The
// detail names file and line, and never contains a key.
Result<std::vector<std::string>> readKeyFile(const std::string &path);

} // namespace mulberryplank
