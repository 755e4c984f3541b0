#include "mulberryplank/policy/requestfingerprint.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace mulberryplank
{

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
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text.data();
}

} // namespace mulberryplank
