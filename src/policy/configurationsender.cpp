#include "mulberryplank/policy/configurationsender.h"

#include <utility>

#include "mulberryplank/policy/compression.h"

namespace mulberryplank
{

void ConfigurationSender::replace(std::string bytes, std::uint64_t version)
{
    m_previous = std::exchange(m_bytes, std::move(bytes));
    m_previousDigest = std::exchange(m_digest, configurationDigest(m_bytes));
    m_version = version;
    m_compressed.clear();
}

std::uint64_t ConfigurationSender::usableBase(std::uint64_t base) const
{
    return base == m_previousDigest ? base : 0;
}

bool ConfigurationSender::isCompressedFor(std::uint64_t base) const
{
    return m_compressed.contains(usableBase(base));
}

// Each variant is compressed only once for all receivers.
const ConfigurationSender::Compressed &ConfigurationSender::compressedFor(std::uint64_t base)
{
    const std::uint64_t known = usableBase(base);
    Compressed &compressed = m_compressed[known];
    if (compressed.bytes.empty()) {
        compressed.bytes = compress(m_bytes, known == 0 ? std::string_view() : m_previous);
        compressed.digest = configurationDigest(compressed.bytes);
        compressed.base = known;
    }
    return compressed;
}

ConfigurationPiece ConfigurationSender::piece(std::uint64_t base, const PiecePosition &next)
{
    const Compressed &compressed = compressedFor(base);
    ConfigurationPiece piece = pieceAt(compressed.bytes, m_version, compressed.digest, next);
    piece.base = compressed.base;
    return piece;
}

const std::string &ConfigurationSender::bytes() const
{
    return m_bytes;
}

std::uint64_t ConfigurationSender::digest() const
{
    return m_digest;
}

} // namespace mulberryplank
