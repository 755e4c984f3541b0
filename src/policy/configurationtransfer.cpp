#include "mulberryplank/policy/configurationtransfer.h"

#include <utility>

#include <xxhash.h>

#include "mulberryplank/policy/compression.h"

namespace mulberryplank
{

std::uint64_t configurationDigest(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

ConfigurationPiece pieceAt(std::string_view bytes,
                           std::uint64_t version,
                           std::uint64_t digest,
                           const PiecePosition &from)
{
    const bool continues = from.version == version && from.digest == digest && from.begin < bytes.size();
    ConfigurationPiece piece;
    piece.position = { version, digest, continues ? from.begin : 0 };
    piece.size = bytes.size();
    piece.bytes = bytes.substr(piece.position.begin, ConfigurationPieceSize);
    return piece;
}

bool ConfigurationTransfer::startsTransfer(const ConfigurationPiece &piece) const
{
    const bool other = piece.position.version != m_version || piece.position.digest != m_digest;
    const bool older = piece.position.version < m_version;
    return piece.position.begin == 0 && other && (!older || m_sourceFailed);
}

bool ConfigurationTransfer::continues(const ConfigurationPiece &piece) const
{
    return piece.position.version == m_version && piece.position.digest == m_digest
           && piece.position.begin == m_received.size() && piece.size == m_size;
}

std::optional<std::string> ConfigurationTransfer::take(const ConfigurationPiece &piece)
{
    const bool isValid = !piece.bytes.empty() && piece.size <= MaxDecompressedSize && piece.position.begin <= piece.size
                         && piece.bytes.size() <= piece.size - piece.position.begin;
    if (!isValid) {
        return std::nullopt;
    }
    if (startsTransfer(piece)) {
        m_version = piece.position.version;
        m_digest = piece.position.digest;
        m_size = piece.size;
        m_received.clear();
    }
    if (!continues(piece)) {
        return std::nullopt;
    }
    m_sourceFailed = false;
    m_received += piece.bytes;
    if (m_received.size() < m_size) {
        return std::nullopt;
    }
    std::string whole = std::exchange(m_received, {});
    const bool intact = configurationDigest(whole) == m_digest;
    m_version = 0;
    m_digest = 0;
    m_size = 0;
    return intact ? std::optional(std::move(whole)) : std::nullopt;
}

void ConfigurationTransfer::onSourceFailed()
{
    m_sourceFailed = true;
}

PiecePosition ConfigurationTransfer::next() const
{
    return { m_version, m_digest, m_received.size() };
}

} // namespace mulberryplank
