#pragma once

#include <exception>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

namespace internal
{

// Reads from memory that it doesn't own, without copying it.
class ViewBuffer : public std::streambuf
{
public:
    explicit ViewBuffer(std::string_view bytes)
    {
        char *begin = const_cast<char *>(bytes.data()); // never written: no put area is set
        setg(begin, begin, begin + bytes.size());
    }
};

} // namespace internal

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

// Decodes the output of cerealEncode(). Must only be used on verified bytes, because cereal trusts the sizes that it
// reads. Errors: BadRequest when the bytes don't hold a T.
template<typename T>
Result<T> cerealDecode(std::string_view bytes)
{
    try {
        internal::ViewBuffer buffer(bytes);
        std::istream stream(&buffer);
        cereal::PortableBinaryInputArchive archive(stream);
        T value;
        archive(value);
        return value;
    } catch (const std::exception &problem) {
        return failure(ErrorKind::BadRequest, problem.what());
    }
}

} // namespace mulberryplank
