#pragma once

#include <exception>
#include <sstream>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/net/boundedinputarchive.h"

namespace mulberryplank
{

// Returns `value` encoded by its cereal functions, the same on every machine.
template<typename T>
std::string cerealEncode(const T &value)
{
    std::ostringstream stream(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(value);
    }
    return std::move(stream).str();
}

// Decodes the output of cerealEncode(). Memory use is bounded by the number of bytes, whatever sizes they claim.
// Errors: BadRequest when the bytes don't hold a T.
template<typename T>
Result<T> cerealDecode(std::string_view bytes)
{
    try {
        internal::BoundedInputArchive archive(bytes);
        T value;
        archive(value);
        return value;
    } catch (const std::exception &problem) {
        return failure(ErrorKind::BadRequest, problem.what());
    }
}

} // namespace mulberryplank
