#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "mulberryplank/policy/configurationtransfer.h"

namespace mulberryplank
{

// Provides the configuration in force to other processes. It is compressed and sent in pieces. A receiver that has the
// previous configuration gets only the difference: many processes share the link of the process that they request it
// from, and usually a single line has changed. Thread-compatible.
class ConfigurationSender
{
public:
    ConfigurationSender() = default;
    ConfigurationSender(const ConfigurationSender &) = delete;
    ConfigurationSender &operator=(const ConfigurationSender &) = delete;

    // Replaces the current configuration, which becomes the previous one.
    void replace(std::string bytes, std::uint64_t version);

    // Returns the next piece for a process that has the configuration with the digest `base` and requests the transfer
    // to continue at `next`. Must be called only after replace().
    ConfigurationPiece piece(std::uint64_t base, const PiecePosition &next);

    // Returns whether a piece for such a process needs no compression, which takes time in proportion to the size of
    // the configuration.
    bool isCompressedFor(std::uint64_t base) const;

    // Return the bytes of the configuration and their digest; empty and 0 before the first call of replace().
    const std::string &bytes() const;
    std::uint64_t digest() const;

private:
    struct Compressed {
        std::string bytes;
        std::uint64_t digest = 0;
        std::uint64_t base = 0; // digest of the configuration needed to decompress it; 0: none
    };

    std::uint64_t usableBase(std::uint64_t base) const; // 0: none
    const Compressed &compressedFor(std::uint64_t base);

    std::string m_bytes;
    std::uint64_t m_version = 0;
    std::uint64_t m_digest = 0;
    std::string m_previous;
    std::uint64_t m_previousDigest = 0;
    std::map<std::uint64_t, Compressed> m_compressed; // by the base's digest; 0: without a base
};

} // namespace mulberryplank
