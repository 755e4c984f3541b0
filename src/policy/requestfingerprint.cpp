#include "mulberryplank/policy/requestfingerprint.h"

#include <array>
#include <charconv>
#include <cstdio>

#include <xxhash.h>

namespace mulberryplank
{

namespace internal
{

namespace
{

constexpr std::size_t Digits = 16; // of a fingerprint in hexadecimal

} // namespace

} // namespace internal

void RequestFingerprinter::setKey(std::string_view key)
{
    m_seed = XXH3_64bits(key.data(), key.size());
}

// Each part is hashed with the hash of the parts before it as the seed, so that bytes can't move from one to the next.
RequestFingerprint RequestFingerprinter::fingerprint(const RequestContent &content) const
{
    std::uint64_t hash = m_seed;
    for (const std::string_view part :
         { content.method, content.host, content.target, content.account, content.body }) {
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
    }
    return RequestFingerprint { hash };
}

std::string toString(RequestFingerprint fingerprint)
{
    std::array<char, internal::Digits + 1> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text.data();
}

std::optional<RequestFingerprint> requestFingerprintFromString(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc() || end != text.data() + text.size() || text.size() != internal::Digits) {
        return std::nullopt;
    }
    return RequestFingerprint { value };
}

} // namespace mulberryplank
