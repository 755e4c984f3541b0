#include "mulberryplank/policy/pack.h"

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
constexpr int PackLevel = 3;

// A match may lie as far back as the base's first byte, so that is what the window has to span.
constexpr int LeastWindowBits = 17;
constexpr int MostWindowBits = 27; // base and bytes of the largest size

int windowBits(std::string_view bytes, std::string_view base)
{
    const int needed = static_cast<int>(std::bit_width(bytes.size() + base.size()));
    return std::clamp(needed, LeastWindowBits, MostWindowBits);
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

std::string pack(std::string_view bytes, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), ZSTD_freeCCtx);
    if (!context) {
        throw std::bad_alloc();
    }
    ZSTD_CCtx *packer = context.get();
    internal::checked(ZSTD_CCtx_setParameter(packer, ZSTD_c_compressionLevel, internal::PackLevel));
    internal::checked(ZSTD_CCtx_setParameter(packer, ZSTD_c_windowLog, internal::windowBits(bytes, base)));
    // A receiver whose base is another one than the sender takes it for would see it by this.
    internal::checked(ZSTD_CCtx_setParameter(packer, ZSTD_c_checksumFlag, 1));
    if (!base.empty()) {
        internal::checked(ZSTD_CCtx_setParameter(packer, ZSTD_c_enableLongDistanceMatching, 1));
        internal::checked(ZSTD_CCtx_refPrefix(packer, base.data(), base.size()));
    }
    std::string packed(ZSTD_compressBound(bytes.size()), '\0');
    packed.resize(internal::checked(ZSTD_compress2(packer, packed.data(), packed.size(), bytes.data(), bytes.size())));
    packed.shrink_to_fit();
    return packed;
}

Result<std::string> unpack(std::string_view packed, std::string_view base)
{
    const unsigned long long size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > MaxUnpackedSize) {
        return failure(ErrorKind::BadConfiguration, "packed bytes: no size, or too large");
    }
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), ZSTD_freeDCtx);
    if (!context) {
        throw std::bad_alloc();
    }
    ZSTD_DCtx *unpacker = context.get();
    internal::checked(ZSTD_DCtx_setParameter(unpacker, ZSTD_d_windowLogMax, internal::MostWindowBits));
    if (!base.empty()) {
        internal::checked(ZSTD_DCtx_refPrefix(unpacker, base.data(), base.size()));
    }
    std::string bytes(size, '\0');
    const std::size_t unpacked =
        ZSTD_decompressDCtx(unpacker, bytes.data(), bytes.size(), packed.data(), packed.size());
    if (ZSTD_isError(unpacked) != 0 || unpacked != size) {
        return failure(ErrorKind::BadConfiguration, "packed bytes: can't be unpacked");
    }
    return bytes;
}

} // namespace mulberryplank
