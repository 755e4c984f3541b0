#include "mulberryplank/policy/compression.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <stdexcept>

#include <zstd.h>

namespace mulberryplank
{

namespace internal
{

namespace
{

// zstd's own default.
constexpr int CompressionLevel = 3;

// A match may lie as far back as the base's first byte, so that is what the window has to span.
constexpr int MinWindowBits = 17;
constexpr int MaxWindowBits = 27; // base and bytes of the largest size

int windowBits(std::string_view bytes, std::string_view base)
{
    const int needed = static_cast<int>(std::bit_width(bytes.size() + base.size()));
    return std::clamp(needed, MinWindowBits, MaxWindowBits);
}

std::size_t checked(std::size_t result)
{
    if (ZSTD_isError(result) != 0) {
        throw std::runtime_error(std::string("zstd: ") + ZSTD_getErrorName(result));
    }
    return result;
}

} // namespace

} // namespace internal

std::string compress(std::string_view bytes, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), ZSTD_freeCCtx);
    if (!context) {
        throw std::bad_alloc();
    }
    ZSTD_CCtx *compressor = context.get();
    internal::checked(ZSTD_CCtx_setParameter(compressor, ZSTD_c_compressionLevel, internal::CompressionLevel));
    internal::checked(ZSTD_CCtx_setParameter(compressor, ZSTD_c_windowLog, internal::windowBits(bytes, base)));
    // A receiver whose base is another one than the sender takes it for would see it by this.
    internal::checked(ZSTD_CCtx_setParameter(compressor, ZSTD_c_checksumFlag, 1));
    if (!base.empty()) {
        internal::checked(ZSTD_CCtx_setParameter(compressor, ZSTD_c_enableLongDistanceMatching, 1));
        internal::checked(ZSTD_CCtx_refPrefix(compressor, base.data(), base.size()));
    }
    std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
    compressed.resize(internal::checked(
        ZSTD_compress2(compressor, compressed.data(), compressed.size(), bytes.data(), bytes.size())));
    compressed.shrink_to_fit();
    return compressed;
}

Result<std::string> decompress(std::string_view compressed, std::string_view base)
{
    const unsigned long long size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > MaxDecompressedSize) {
        return failure(ErrorKind::BadConfiguration, "packed bytes: no size, or too large");
    }
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), ZSTD_freeDCtx);
    if (!context) {
        throw std::bad_alloc();
    }
    ZSTD_DCtx *decompressor = context.get();
    internal::checked(ZSTD_DCtx_setParameter(decompressor, ZSTD_d_windowLogMax, internal::MaxWindowBits));
    if (!base.empty()) {
        internal::checked(ZSTD_DCtx_refPrefix(decompressor, base.data(), base.size()));
    }
    std::string bytes(size, '\0');
    const std::size_t decompressed =
        ZSTD_decompressDCtx(decompressor, bytes.data(), bytes.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(decompressed) != 0 || decompressed != size) {
        return failure(ErrorKind::BadConfiguration, "packed bytes: can't be unpacked");
    }
    return bytes;
}

} // namespace mulberryplank
