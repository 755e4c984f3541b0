#include "mulberryplank/net/streamframes.h"

#include <algorithm>
#include <cstdint>
#include <cstring>

#include <boost/endian/conversion.hpp>

namespace mulberryplank
{

std::array<char, FrameHeaderSize> frameHeader(std::size_t size)
{
    std::array<char, FrameHeaderSize> header {};
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(header.data()), static_cast<std::uint32_t>(size));
    return header;
}

std::size_t FrameReader::unwrap(char *bytes, std::size_t size)
{
    std::size_t data = 0;
    std::size_t read = 0;
    while (read < size && !m_ended) {
        if (m_left > 0) {
            const std::size_t part = std::min(m_left, size - read);
            std::memmove(bytes + data, bytes + read, part);
            data += part;
            read += part;
            m_left -= part;
            continue;
        }
        m_header[m_headerSize++] = bytes[read++];
        if (m_headerSize == FrameHeaderSize) {
            m_left = boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(m_header.data()));
            m_headerSize = 0;
            m_ended = m_left == 0;
        }
    }
    return data;
}

bool FrameReader::hasEnded() const
{
    return m_ended;
}

bool FrameReader::isInsideFrame() const
{
    return m_left > 0 || m_headerSize > 0;
}

} // namespace mulberryplank
