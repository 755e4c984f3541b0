#include "mulberryplank/policy/calleridentity.h"

#include <string>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace mulberryplank
{

namespace internal
{

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::size_t MaxIdentityLength = 512; // characters of "ACCOUNT.SECRET"

bool isTokenCharacter(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > 0x20 && byte < 0x7f;
}

} // namespace internal

std::optional<PresentedIdentity> parseAuthorization(std::string_view value)
{
    if (!value.starts_with(internal::BearerPrefix)) {
        return std::nullopt;
    }
    value.remove_prefix(internal::BearerPrefix.size());
    if (value.size() > internal::MaxIdentityLength) {
        return std::nullopt;
    }
    for (const char c : value) {
        if (!internal::isTokenCharacter(c)) {
            return std::nullopt;
        }
    }
    const std::size_t dot = value.rfind('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == value.size()) {
        return std::nullopt;
    }
    return PresentedIdentity { AccountName(std::string(value.substr(0, dot))), value.substr(dot + 1) };
}

SecretDigest digestOf(std::string_view secret)
{
    SecretDigest digest {};
    static_assert(std::tuple_size_v<SecretDigest> == SHA256_DIGEST_LENGTH);
    SHA256(reinterpret_cast<const unsigned char *>(secret.data()), secret.size(), digest.data());
    return digest;
}

bool secretMatches(std::string_view secret, const SecretDigest &expected)
{
    const SecretDigest presented = digestOf(secret);
    return CRYPTO_memcmp(presented.data(), expected.data(), presented.size()) == 0;
}

} // namespace mulberryplank
