#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "mulberryplank/policy/configurationtransfer.h"

namespace mulberryplank
{

// The configuration that a process has in force, as it gives it to others: compressed, in pieces, and only what differs
// where the other one has the configuration that was in force here before: many processes share the link of the one
// that they ask, and mostly a line has changed. Not synchronized.
class ConfigurationSender
{
public:
    ConfigurationSender() = default;
    ConfigurationSender(const ConfigurationSender &) = delete;
    ConfigurationSender &operator=(const ConfigurationSender &) = delete;

    // Puts a configuration in the place of the one before it.
    void replace(std::string bytes, std::uint64_t version);

    // Returns the next piece for a process that has the configuration with the digest `base` and asks to go on at
    // `next`. There must be a configuration.
    ConfigurationPiece piece(std::uint64_t base, const PiecePosition &next);

    // Return the bytes of the configuration and their digest; no bytes and 0 before there is one.
    const std::string &bytes() const;
    std::uint64_t digest() const;

private:
    struct Compressed {
        std::string bytes;
        std::uint64_t digest = 0;
        std::uint64_t base = 0; // digest of what it is unpacked with; 0: nothing
    };

    const Compressed &compressedFor(std::uint64_t base);

    std::string m_bytes;
    std::uint64_t m_version = 0;
    std::uint64_t m_digest = 0;
    std::string m_previous;
    std::uint64_t m_previousDigest = 0;
    std::map<std::uint64_t, Compressed> m_compressed; // by the base's digest; 0: without one
};

} // namespace mulberryplank
