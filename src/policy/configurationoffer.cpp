#include "mulberryplank/policy/configurationoffer.h"

#include <utility>

#include "mulberryplank/policy/pack.h"

namespace mulberryplank
{

void ConfigurationOffer::replace(std::string bytes, std::uint64_t version)
{
    m_previous = std::exchange(m_bytes, std::move(bytes));
    m_previousDigest = std::exchange(m_digest, configurationDigest(m_bytes));
    m_version = version;
    m_packed.clear();
}

// Packed once for all who ask.
const ConfigurationOffer::Packed &ConfigurationOffer::packedFor(std::uint64_t base)
{
    const std::uint64_t known = base == m_previousDigest ? base : 0;
    Packed &packed = m_packed[known];
    if (packed.bytes.empty()) {
        packed.bytes = pack(m_bytes, known == 0 ? std::string_view() : m_previous);
        packed.digest = configurationDigest(packed.bytes);
        packed.base = known;
    }
    return packed;
}

ConfigurationPiece ConfigurationOffer::piece(std::uint64_t base, const PiecePosition &next)
{
    const Packed &packed = packedFor(base);
    ConfigurationPiece piece = cutPiece(packed.bytes, m_version, packed.digest, next);
    piece.base = packed.base;
    return piece;
}

const std::string &ConfigurationOffer::bytes() const
{
    return m_bytes;
}

std::uint64_t ConfigurationOffer::digest() const
{
    return m_digest;
}

} // namespace mulberryplank
