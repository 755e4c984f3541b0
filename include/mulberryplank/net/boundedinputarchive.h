#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>

#include <cereal/archives/portable_binary.hpp>

namespace mulberryplank::internal
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

    std::size_t bytesLeft() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

// Reads the output of cereal::PortableBinaryOutputArchive, and throws cereal::Exception where a string or container
// claims more elements than there are bytes left. cereal's own archive allocates whatever size it reads.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : InputArchive(this)
        , m_buffer(bytes)
        , m_stream(&m_buffer)
        , m_values(m_stream)
    {
    }

    // Called by cereal for values of `ValueSize` bytes each.
    template<std::streamsize ValueSize>
    void loadBinary(void *data, std::streamsize size)
    {
        m_values.loadBinary<ValueSize>(data, size);
    }

    // Errors: throws when fewer than `elements` bytes are left. Each element takes at least one byte.
    void checkSize(std::uint64_t elements) const
    {
        if (elements > m_buffer.bytesLeft()) {
            throw cereal::Exception("size of " + std::to_string(elements) + " elements exceeds the "
                                    + std::to_string(m_buffer.bytesLeft()) + " bytes left");
        }
    }

    // Returns whether values follow, which a sender of an earlier version may have left out.
    bool hasMore() const
    {
        return m_buffer.bytesLeft() > 0;
    }

private:
    ViewBuffer m_buffer;
    std::istream m_stream;
    cereal::PortableBinaryInputArchive m_values;
};

// The functions below are found by cereal through the type of the archive.

template<typename T>
std::enable_if_t<std::is_arithmetic_v<T>> load(BoundedInputArchive &archive, T &value)
{
    archive.loadBinary<sizeof(T)>(&value, sizeof(T));
}

inline void load(BoundedInputArchive &archive, bool &value)
{
    std::uint8_t byte = 0;
    archive(byte);
    if (byte > 1) {
        throw cereal::Exception("byte " + std::to_string(byte) + " is no truth value");
    }
    value = byte == 1;
}

template<typename T>
void load(BoundedInputArchive &archive, cereal::SizeTag<T> &tag)
{
    archive(tag.size);
    archive.checkSize(tag.size);
}

template<typename T>
void load(BoundedInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.loadBinary<sizeof(std::remove_pointer_t<T>)>(data.data, static_cast<std::streamsize>(data.size));
}

} // namespace mulberryplank::internal

// CEREAL_SETUP_ARCHIVE_TRAITS in one direction only: the output archive already has an input archive of its own.
template<>
struct cereal::traits::detail::get_output_from_input<mulberryplank::internal::BoundedInputArchive> {
    using type = cereal::PortableBinaryOutputArchive;
};
