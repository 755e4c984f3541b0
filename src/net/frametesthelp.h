// Builds frames in tests.
#pragma once

#include <string>

#include "mulberryplank/net/streamframes.h"

namespace mulberryplank
{

// Returns the frame with that data. Without data, it ends the stream.
inline std::string frame(const std::string &data)
{
    const auto header = frameHeader(data.size());
    return std::string(header.data(), header.size()) + data;
}

} // namespace mulberryplank
