#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// Returns the length of the header block at the start of `buffered`, including its final empty line, or nullopt if the
// empty line hasn't arrived yet. A block that ends in a bare LF is treated as ended, so that checkHeaderBlock() rejects
// it immediately instead of waiting for more bytes.
std::optional<std::size_t> headerBlockLength(std::string_view buffered);

// Returns BadRequest, with the reason, unless `block` is a header block of a request that every HTTP/1.1 parser
// delimits in the same way. If two parsers disagree on where a request ends, a caller can place a request in front of
// another caller's request (request smuggling). Must be called with the raw bytes up to headerBlockLength(), before
// they are passed to the parser. It adds to the checks of Beast's parser and replaces none of them.
Result<void> checkHeaderBlock(std::string_view block);

} // namespace mulberryplank
