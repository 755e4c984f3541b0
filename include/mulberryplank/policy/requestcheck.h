#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// Returns the length of the header block that `buffered` begins with, its closing empty line included, or nothing when
// the empty line hasn't arrived yet. A block that ends in bare LF counts as ended, so that checkHeaderBlock() refuses
// it at once instead of its sender being waited for.
std::optional<std::size_t> headerBlockLength(std::string_view buffered);

// Returns BadRequest, with what is wrong, unless `block` is a header block of a request that every HTTP/1.1 reader
// delimits in the same way. Two readers that disagree on where a request ends would let one caller put a request in
// front of another's (request smuggling). Call this with the raw bytes up to headerBlockLength(), before they go to
// the parser. It adds to the checks of Beast's parser and replaces none of them.
Result<void> checkHeaderBlock(std::string_view block);

} // namespace mulberryplank
