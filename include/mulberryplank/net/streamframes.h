#pragma once

#include <array>
#include <cstddef>

namespace mulberryplank
{

// A stream of frames, whose end can be told from the end of its connection: each frame is a length of four bytes, the
// most significant first, and that many bytes of data. A frame without data ends the stream.
inline constexpr std::size_t FrameHeaderSize = 4;

// Returns the header of a frame with `size` bytes of data, at most 4 GB. A size of 0 ends the stream.
std::array<char, FrameHeaderSize> frameHeader(std::size_t size);

// Reads the frames of a stream, which may arrive in pieces of any size.
class FrameReader
{
public:
    // Takes the next `size` bytes of the stream and moves the frames' data to their beginning. Returns the size of the
    // data. Bytes behind the end of the stream are discarded.
    std::size_t unwrap(char *bytes, std::size_t size);

    // Returns true once the frame that ends the stream was read.
    bool hasEnded() const;

    // Returns true if a frame was read in part, so that more of it must follow.
    bool isInsideFrame() const;

private:
    std::array<char, FrameHeaderSize> m_header {};
    std::size_t m_headerSize = 0; // bytes of the header that were read
    std::size_t m_left = 0; // bytes of data that the current frame still has
    bool m_ended = false;
};

} // namespace mulberryplank
