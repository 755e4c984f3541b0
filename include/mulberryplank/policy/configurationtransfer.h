#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberryplank
{

// The size of one piece of a configuration in bytes. It takes 50 ms on a link of 10 Mbit/s, so a response arrives
// within the few hundred milliseconds that a process waits for it, even while requests and other responses share the
// link.
inline constexpr std::size_t ConfigurationPieceSize = 65'536;

// The position at which a transfer continues: after the first `begin` bytes of the compressed configuration with this
// version and digest.
struct PiecePosition {
    std::uint64_t version = 0; // 0: no transfer has started
    std::uint64_t digest = 0;
    std::uint64_t begin = 0;
};

// A piece of a compressed configuration as sent from one process to another.
struct ConfigurationPiece {
    PiecePosition position;
    std::uint64_t size = 0; // of the whole compressed configuration, in bytes
    std::uint64_t base = 0; // digest of the configuration needed to decompress it; 0: none
    std::string bytes; // empty: the sender has nothing newer
};

// Returns the digest that identifies a configuration or a compressed configuration.
std::uint64_t configurationDigest(std::string_view bytes);

// Returns the piece of `bytes` at `from`, or the first piece if `from` refers to other bytes. Doesn't set the base.
ConfigurationPiece pieceAt(std::string_view bytes,
                           std::uint64_t version,
                           std::uint64_t digest,
                           const PiecePosition &from);

// Reassembles a compressed configuration from pieces, which may come from different processes. Received pieces are kept
// when a request fails, so the next request continues there. Restarting after each failure would never finish over a
// link on which the transfer takes longer than the time between two failures. Thread-compatible.
class ConfigurationTransfer
{
public:
    ConfigurationTransfer() = default;
    ConfigurationTransfer(const ConfigurationTransfer &) = delete;
    ConfigurationTransfer &operator=(const ConfigurationTransfer &) = delete;

    // Adds a piece. Returns the whole compressed configuration if this piece was the last one. Pieces that don't fit
    // are discarded. The first piece of another configuration starts a new transfer; that of an older configuration
    // does so only after onSourceFailed().
    std::optional<std::string> take(const ConfigurationPiece &piece);

    // Must be called when the process that was queried last doesn't respond. The transfer then accepts an older
    // configuration, in case no other process has the current one.
    void onSourceFailed();

    // Returns the position at which the next piece starts.
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
