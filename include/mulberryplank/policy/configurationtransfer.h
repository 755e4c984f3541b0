#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberryplank
{

// The bytes in one piece of a configuration: 50 ms on a link of 10 Mbit/s, so that an answer arrives within the few
// hundred milliseconds that a process waits for one, also while requests and other answers share the link.
inline constexpr std::size_t ConfigurationPieceSize = 65'536;

// Where a transfer goes on: behind the first `begin` bytes of the packed configuration with this version and digest.
struct PiecePosition {
    std::uint64_t version = 0; // 0: none has begun
    std::uint64_t digest = 0;
    std::uint64_t begin = 0;
};

// A piece of a packed configuration on its way from one process to another.
struct ConfigurationPiece {
    PiecePosition position;
    std::uint64_t size = 0; // bytes of the whole packed configuration
    std::uint64_t base = 0; // digest of the configuration that it is unpacked with; 0: none
    std::string bytes; // empty: nothing newer is there
};

// Returns the digest by which a configuration, or the pieces of a packed one, are known.
std::uint64_t configurationDigest(std::string_view bytes);

// Returns the piece of `bytes` at `from`, or the first one when `from` is of other bytes. The base is left out.
ConfigurationPiece pieceAt(std::string_view bytes,
                           std::uint64_t version,
                           std::uint64_t digest,
                           const PiecePosition &from);

// Puts the pieces of a packed configuration together, whoever they come from. What has arrived is kept when an answer
// fails, so the next one goes on from there: a transfer that startsTransfer anew after each failure never ends over a
// link on which it takes longer than the time between two failures. Not synchronized.
class ConfigurationTransfer
{
public:
    ConfigurationTransfer() = default;
    ConfigurationTransfer(const ConfigurationTransfer &) = delete;
    ConfigurationTransfer &operator=(const ConfigurationTransfer &) = delete;

    // Takes a piece, and returns the whole packed configuration if it was the last one. Pieces that don't fit are
    // dropped; the first piece of another configuration startsTransfer a new transfer, of an older one only after
    // onSourceFailed().
    std::optional<std::string> take(const ConfigurationPiece &piece);

    // Whoever was asked last doesn't answer. Where nobody else has that configuration either, an older one is taken.
    void onSourceFailed();

    // Returns where the next piece startsTransfer.
    PiecePosition next() const;

private:
    bool startsTransfer(const ConfigurationPiece &piece) const;
    bool continues(const ConfigurationPiece &piece) const;

    std::uint64_t m_version = 0;
    std::uint64_t m_digest = 0;
    std::uint64_t m_size = 0;
    std::string m_received;
    bool m_sourceFailed = false;
};

} // namespace mulberryplank
