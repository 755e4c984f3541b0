#pragma once

#include <string>

namespace mulberryplank
{

// Returns true if `text` is an IPv4 address or an IPv6 address without brackets, and nothing else.
bool isIpAddress(const std::string &text);

} // namespace mulberryplank
